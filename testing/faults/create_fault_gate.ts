/**
 * A set of fault switches with durations.
 */
import type { Subscription, Timer } from '../../timer/mod.ts'

/** Names the faults that a stand-in can show. */
export enum FaultKind {
  Freeze = 'freeze',
  StallTransfer = 'stall_transfer',
  ClosePort = 'cut',
  Delay = 'delay',
  Slow = 'slow',
  DuplicateAndReorder = 'crossed',
  CloseAfterRun = 'cut_after_run',
  Down = 'down',
  Stale = 'stale',
  Clear = 'clear'
}

/** Configures a fault gate. */
export interface FaultGateOptions {
  timer: Timer
}

/** Holds the faults in force at one stand-in. */
export interface FaultGate {
  /** Switches a fault on for `ms` milliseconds, or until cleared when `ms` is 0; for `delay`, `ms` is the latency. */
  setFault (kind: FaultKind, ms: number): void
  /** Tells whether a fault is in force. */
  isActive (kind: FaultKind): boolean
  /** Waits while the stand-in is frozen, and for the added latency. */
  applyDelays (): Promise<void>
  /** Calls `fn` after each change. */
  onChange (fn: () => void): void
}

/**
 * Creates a set of fault switches, all off.
 *
 * @param options the timer that ends faults with a duration in milliseconds
 * @returns the gate
 *
 * @example
 * ```ts
 * import { createFaultGate, FaultKind } from 'briarloom/testing/faults'
 * import { createManualTimer } from 'briarloom/timer'
 *
 * const gate = createFaultGate({ timer: createManualTimer() })
 * gate.set(FaultKind.Freeze, 100)
 * console.assert(gate.active(FaultKind.Freeze))
 * ```
 */
export function createFaultGate (options: FaultGateOptions): FaultGate {
  const { timer } = options
  const faults = new Map<FaultKind, Subscription | undefined>()
  const listeners: Array<() => void> = []
  let waiting: Array<() => void> = []
  let delayMs = 0

  function changed (): void {
    if (!faults.has(FaultKind.Freeze)) {
      const released = waiting
      waiting = []
      for (const release of released) release()
    }
    for (const fn of listeners) fn()
  }

  function clear (): void {
    for (const sub of faults.values()) sub?.cancel()
    faults.clear()
    delayMs = 0
    changed()
  }

  function setFault (kind: FaultKind, ms: number): void {
    if (kind === FaultKind.Clear) return clear()
    faults.get(kind)?.cancel()
    if (kind === FaultKind.Delay) delayMs = ms
    const lasting = ms === 0 || kind === FaultKind.Delay
    faults.set(kind, lasting
      ? undefined
      : timer.after(ms, () => {
        faults.delete(kind)
        changed()
      }))
    changed()
  }

  async function applyDelays (): Promise<void> {
    if (delayMs > 0) await new Promise<void>((resolve) => timer.after(delayMs, resolve))
    while (faults.has(FaultKind.Freeze)) {
      await new Promise<void>((resolve) => waiting.push(resolve))
    }
  }

  return {
    setFault,
    isActive: (kind) => faults.has(kind),
    applyDelays,
    onChange: (fn) => { listeners.push(fn) }
  }
}
