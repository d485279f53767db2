/**
 * A sequencer that gives an engine one order at a time and reads the engine's state before and after each.
 */
import type { EngineOrder, EngineState } from '../../engine/mod.ts'
import type { Fence } from './create_fence.ts'

/** Describes what an engine is to serve. */
export type OrderTarget = Pick<EngineState, 'role' | 'model' | 'version' | 'adapter'>

/** Names what the agent does for the sequencer. */
export enum OrderEffectKind {
  /** Reads the engine's state at once and answers with `onState`. */
  ReadState = 'read_state',
  /** Reads the engine's state after a delay and answers with `onState`. */
  ReadStateLater = 'read_state_later',
  /** Sends the order and answers with `onOrderAnswered`. */
  SendOrder = 'send_order',
  /** The engine serves the target. */
  InForce = 'in_force'
}

/** Describes what the agent does for the sequencer. */
export type OrderEffect =
  | { kind: OrderEffectKind.ReadState, readId: number }
  | { kind: OrderEffectKind.ReadStateLater, readId: number }
  | { kind: OrderEffectKind.SendOrder, order: EngineOrder }
  | { kind: OrderEffectKind.InForce, target: OrderTarget }

/** Configures an order sequencer. */
export interface OrderSequencerOptions {
  fence: Fence
}

/** Gives orders to one engine. */
export interface OrderSequencer {
  /**
   * Sets what the engine is to serve; a later target replaces an earlier one that is not in force yet.
   *
   * The target in force is to be submitted again periodically: an order of an earlier incarnation may arrive late.
   */
  setTarget (target: OrderTarget): OrderEffect[]
  /** Takes the state that the read `readId` gave; an answer to an older read is dropped. */
  onState (readId: number, state: EngineState): OrderEffect[]
  /** Takes the news that the read `readId` failed. */
  onReadFailed (readId: number): OrderEffect[]
  /** Takes the news that the order was answered, refused, or ended in an error. */
  onOrderAnswered (): OrderEffect[]
  /** Drops every state read before a pause of the process, so that no order follows from an old view. */
  onPause (): OrderEffect[]
  /** Tells whether an order or a read is outstanding. */
  isBusy (): boolean
}

enum Phase {
  Idle = 'idle',
  Reading = 'reading',
  Ordering = 'ordering'
}

function serves (state: EngineState, target: OrderTarget): boolean {
  return state.role === target.role && state.model === target.model &&
    state.version === target.version && state.adapter === target.adapter
}

/**
 * Creates an idle order sequencer.
 *
 * An order is sent only on a state that was read after the last order was answered and after the last pause. A target counts as in
 * force only when a read after the order shows it.
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
 * const effects = orders.submit({ role: Role.Decode, model: 'm', version: '1', adapter: '' })
 * console.assert(effects[0]?.kind === OrderEffectKind.ReadState)
 * ```
 */
export function createOrderSequencer (options: OrderSequencerOptions): OrderSequencer {
  const { fence } = options
  let phase = Phase.Idle
  let target: OrderTarget | undefined
  let readId = 0

  function read (kind: OrderEffectKind.ReadState | OrderEffectKind.ReadStateLater): OrderEffect[] {
    phase = Phase.Reading
    readId++
    return [{ kind, readId }]
  }

  function decide (state: EngineState): OrderEffect[] {
    if (target === undefined) return []
    fence.observe({ engineFence: state.fence })
    // An engine that loads is still busy with an order, perhaps of another incarnation.
    if (state.loading) return read(OrderEffectKind.ReadStateLater)
    if (serves(state, target)) {
      phase = Phase.Idle
      return [{ kind: OrderEffectKind.InForce, target }]
    }
    phase = Phase.Ordering
    return [{ kind: OrderEffectKind.SendOrder, order: { ...target, fence: fence.next() } }]
  }

  return {
    setTarget (next) {
      target = next
      return phase === Phase.Idle ? read(OrderEffectKind.ReadState) : []
    },
    onState (id, state) {
      return phase === Phase.Reading && id === readId ? decide(state) : []
    },
    onReadFailed (id) {
      return phase === Phase.Reading && id === readId ? read(OrderEffectKind.ReadStateLater) : []
    },
    onOrderAnswered () {
      return phase === Phase.Ordering ? read(OrderEffectKind.ReadState) : []
    },
    onPause () {
      return phase === Phase.Reading ? read(OrderEffectKind.ReadState) : []
    },
    isBusy: () => phase !== Phase.Idle
  }
}
