/**
 * Faults that a test injects into a stand-in, each until it is cleared or for a time.
 */
import type { Subscription, Timer } from '../../timer/mod.ts'

/** Names the faults that a test can inject. */
export enum FaultKind {
  /** Holds back all calls but control calls, and generates no tokens, until the fault ends. */
  Freeze = 'freeze',
  /** Exports of KV caches make no progress. */
  StallTransfer = 'stall_transfer',
  /** Closes the port and all connections. */
  ClosePort = 'cut',
  /** Adds a latency to each call. */
  Delay = 'delay',
  /** An engine computes more slowly, or the configuration service responds later. */
  Slow = 'slow',
  /** Writes the events of streams twice and out of order. */
  DuplicateAndReorder = 'crossed',
  /** Runs a call and closes its connection without a response. */
  CloseAfterRun = 'cut_after_run',
  /** Closes the port and all connections, as `ClosePort` does. */
  Down = 'down',
  /** Responds with the data from the start of the fault. */
  Stale = 'stale',
  /** Ends all faults. */
  Clear = 'clear'
}

/** Configures a fault gate. */
export interface FaultGateOptions {
  timer: Timer
}

/** Holds the active faults of one stand-in. */
export interface FaultGate {
  /**
   * Starts a fault for `ms` milliseconds, or until it is cleared when `ms` is 0.
   * For `Delay`, which lasts until it is cleared, `ms` is the latency.
   */
  setFault (kind: FaultKind, ms: number): void
  /** Returns whether a fault is active. */
  isActive (kind: FaultKind): boolean
  /** Resolves after the added latency, and not while the stand-in is frozen. */
  applyDelays (): Promise<void>
  /** Calls `fn` each time that a fault starts or ends. */
  onChange (fn: () => void): void
}

/**
 * Creates a fault gate without active faults.
 *
 * @param options the timer for latencies and for the end of faults
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
  let frozenCalls: Array<() => void> = []
  let delayMs = 0

  function reportChange (): void {
    if (!faults.has(FaultKind.Freeze)) {
      const released = frozenCalls
      frozenCalls = []
      for (const release of released) release()
    }
    for (const fn of listeners) fn()
  }

  function clearFaults (): void {
    for (const sub of faults.values()) sub?.cancel()
    faults.clear()
    delayMs = 0
    reportChange()
  }

  function setFault (kind: FaultKind, ms: number): void {
    if (kind === FaultKind.Clear) return clearFaults()
    faults.get(kind)?.cancel()
    if (kind === FaultKind.Delay) delayMs = ms
    const isUntilCleared = ms === 0 || kind === FaultKind.Delay
    faults.set(kind, isUntilCleared
      ? undefined
      : timer.after(ms, () => {
        faults.delete(kind)
        reportChange()
      }))
    reportChange()
  }

  async function applyDelays (): Promise<void> {
    if (delayMs > 0) await new Promise<void>((resolve) => timer.after(delayMs, resolve))
    while (faults.has(FaultKind.Freeze)) {
      await new Promise<void>((resolve) => frozenCalls.push(resolve))
    }
  }

  return {
    setFault,
    isActive: (kind) => faults.has(kind),
    applyDelays,
    onChange: (fn) => { listeners.push(fn) }
  }
}
