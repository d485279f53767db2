/**
 * The state machine of a graceful shutdown.
 */

/** Names the states of a process with regard to shutdown. */
export enum DrainState {
  Serving = 'serving',
  /** New work is refused; work in flight goes on. */
  Draining = 'draining',
  /** Nothing is in flight and nothing will be. */
  Drained = 'drained'
}

/** Names what the process does. */
export enum DrainEffect {
  /** Tells peers and the balancer that the process takes no new work. */
  Announce = 'announce',
  /** Ends the work that is still in flight with an honest outcome. */
  EndInFlight = 'end_in_flight',
  /** Closes connections and exits. */
  Exit = 'exit'
}

/** Drains a process. */
export interface Drain {
  state (): DrainState
  /** Returns the number of units of work in flight. */
  inFlight (): number
  /** Counts one unit of work in; answers false, and counts nothing, when the process takes no new work. */
  admit (): boolean
  /** Counts one unit of work out. */
  finish (): DrainEffect[]
  /** Handles a shutdown signal; the second one ends what is in flight. */
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
 * console.assert(drain.signal()[0] === DrainEffect.Announce)
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
