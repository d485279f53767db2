/**
 * A sequencer that sends an engine one order at a time and reads the engine's state before and after each.
 */
import type { EngineOrder, EngineState } from '../../engine/mod.ts'
import type { Fence } from './create_fence.ts'

/** What an engine should serve. */
export type OrderTarget = Pick<EngineState, 'role' | 'model' | 'version' | 'adapter'>

/** Kinds of effects. */
export enum OrderEffectKind {
  /** Reads the engine's state at once; the result goes to `onState` or `onReadFailed`. */
  ReadState = 'read_state',
  /** Reads the engine's state after a delay; the result goes to `onState` or `onReadFailed`. */
  ReadStateLater = 'read_state_later',
  /** Sends the order and calls `onOrderAnswered` when it has ended. */
  SendOrder = 'send_order',
  /** The engine serves the target. */
  InForce = 'in_force'
}

/** An effect that the agent performs for the sequencer. */
export type OrderEffect =
  | { kind: OrderEffectKind.ReadState, readId: number }
  | { kind: OrderEffectKind.ReadStateLater, readId: number }
  | { kind: OrderEffectKind.SendOrder, order: EngineOrder }
  | { kind: OrderEffectKind.InForce, target: OrderTarget }

/** Options of an order sequencer. */
export interface OrderSequencerOptions {
  /** Source of the fencing numbers of orders. */
  fence: Fence
}

/** Sends orders to one engine. */
export interface OrderSequencer {
  /**
   * Sets what the engine should serve. A later target replaces an earlier one that is not in force yet.
   *
   * Set the same target again periodically, because a late order of an earlier incarnation may change what the engine serves.
   */
  setTarget (target: OrderTarget): OrderEffect[]
  /** Handles the result of the read `readId`; the result of an older read is ignored. */
  onState (readId: number, state: EngineState): OrderEffect[]
  /** Handles the failure of the read `readId`; that of an older read is ignored. */
  onReadFailed (readId: number): OrderEffect[]
  /** Handles the end of the order: it was answered or refused, or it failed. */
  onOrderAnswered (): OrderEffect[]
  /** Discards every state that was read before a pause of the process, so that no order is based on an outdated state. */
  onPause (): OrderEffect[]
  /** Returns whether an order or a read is outstanding. */
  isBusy (): boolean
}

enum Phase {
  Idle = 'idle',
  Reading = 'reading',
  Ordering = 'ordering'
}

function isServing (state: EngineState, target: OrderTarget): boolean {
  return state.role === target.role && state.model === target.model &&
    state.version === target.version && state.adapter === target.adapter
}

/**
 * Creates an idle order sequencer.
 *
 * An order is sent only after the state has been read since the end of the last order and since the last pause. A target is
 * reported as in force only after a read that shows it.
 *
 * @param options the source of fencing numbers
 * @returns the sequencer
 *
 * @example
 * ```ts
 * import { createFence, createOrderSequencer, OrderEffectKind } from 'briarloom/core/fence'
 * import { Role } from 'briarloom/core/types'
 *
 * const orders = createOrderSequencer({ fence: createFence({ revision: 1, engineFence: 0 }) })
 * const effects = orders.setTarget({ role: Role.Decode, model: 'm', version: '1', adapter: '' })
 * console.assert(effects[0]?.kind === OrderEffectKind.ReadState)
 * ```
 */
export function createOrderSequencer (options: OrderSequencerOptions): OrderSequencer {
  const { fence } = options
  let phase = Phase.Idle
  let target: OrderTarget | undefined
  let readId = 0

  function startRead (kind: OrderEffectKind.ReadState | OrderEffectKind.ReadStateLater): OrderEffect[] {
    phase = Phase.Reading
    readId++
    return [{ kind, readId }]
  }

  function handleState (state: EngineState): OrderEffect[] {
    if (target === undefined) return []
    fence.observe({ engineFence: state.fence })
    // An engine that is loading still executes an order, perhaps of another incarnation.
    if (state.loading) return startRead(OrderEffectKind.ReadStateLater)
    if (isServing(state, target)) {
      phase = Phase.Idle
      return [{ kind: OrderEffectKind.InForce, target }]
    }
    phase = Phase.Ordering
    return [{ kind: OrderEffectKind.SendOrder, order: { ...target, fence: fence.next() } }]
  }

  return {
    setTarget (newTarget) {
      target = newTarget
      return phase === Phase.Idle ? startRead(OrderEffectKind.ReadState) : []
    },
    onState (id, state) {
      return phase === Phase.Reading && id === readId ? handleState(state) : []
    },
    onReadFailed (id) {
      return phase === Phase.Reading && id === readId ? startRead(OrderEffectKind.ReadStateLater) : []
    },
    onOrderAnswered () {
      return phase === Phase.Ordering ? startRead(OrderEffectKind.ReadState) : []
    },
    onPause () {
      return phase === Phase.Reading ? startRead(OrderEffectKind.ReadState) : []
    },
    isBusy: () => phase !== Phase.Idle
  }
}
