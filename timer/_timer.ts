/**
 * The interface that system and manual timers share.
 */

/** Ends a subscription. */
export interface Subscription {
  /** Ends the subscription; later calls do nothing. */
  cancel (): void
}

/** Offers time to the parts of a process. */
export interface Timer {
  /** Returns monotonic time in milliseconds. */
  now (): number
  /** Returns wall-clock time in milliseconds since the Unix epoch; used for logs and incarnation numbers only. */
  wallClockMs (): number
  /** Calls `fn` once after `delayMs` milliseconds. */
  after (delayMs: number, fn: () => void): Subscription
  /** Calls `fn` every `periodMs` milliseconds. */
  every (periodMs: number, fn: () => void): Subscription
  /** Calls `fn` with the length in milliseconds of each pause of the process longer than `thresholdMs`. */
  onPause (thresholdMs: number, fn: (pausedMs: number) => void): Subscription
  /** Ends every subscription. */
  close (): void
}
