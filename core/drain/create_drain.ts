/**
 * The state machine of a graceful shutdown.
 */

/** States of a process during shutdown. */
export enum DrainState {
  /** New work is accepted. */
  Serving = 'serving',
  /** New work is refused; work in flight continues. */
  Draining = 'draining',
  /** No work is in flight, and none will be accepted. */
  Drained = 'drained'
}

/** Effects that the process performs. */
export enum DrainEffect {
  /** Tells peers and the load balancer that the process accepts no new work. */
  Announce = 'announce',
  /** Ends the work that is still in flight and reports its outcome as far as it is known. */
  EndInFlight = 'end_in_flight',
  /** Closes connections and exits. */
  Exit = 'exit'
}

/** State machine of a graceful shutdown. */
export interface Drain {
  /** Returns the current state. */
  state (): DrainState
  /** Returns the number of units of work in flight. */
  inFlight (): number
  /** Records the start of one unit of work; returns false, and records nothing, when the process accepts no new work. */
  admit (): boolean
  /** Records the end of one unit of work; throws when none is in flight. */
  finish (): DrainEffect[]
  /** Handles a shutdown signal; a second one ends the work in flight. */
  handleSignal (): DrainEffect[]
}

/**
 * Creates the state machine of a graceful shutdown, in the state `Serving`.
 *
 * @returns the state machine
 *
 * @example
 * ```ts
 * import { createDrain, DrainEffect } from 'briarloom/core/drain'
 *
 * const drain = createDrain()
 * drain.admit()
 * console.assert(drain.handleSignal()[0] === DrainEffect.Announce)
 * console.assert(!drain.admit())
 * console.assert(drain.finish()[0] === DrainEffect.Exit)
 * ```
 */
export function createDrain (): Drain {
  let state = DrainState.Serving
  let inFlight = 0

  function exitIfIdle (): DrainEffect[] {
    if (inFlight > 0) return []
    state = DrainState.Drained
    return [DrainEffect.Exit]
  }

  return {
    state: () => state,
    inFlight: () => inFlight,
    admit () {
      if (state !== DrainState.Serving) return false
      inFlight++
      return true
    },
    finish () {
      if (inFlight === 0) throw new Error('finished more work than was admitted')
      inFlight--
      return state === DrainState.Draining ? exitIfIdle() : []
    },
    handleSignal () {
      if (state === DrainState.Drained) return []
      if (state === DrainState.Draining) return [DrainEffect.EndInFlight]
      state = DrainState.Draining
      return [DrainEffect.Announce, ...exitIfIdle()]
    }
  }
}
