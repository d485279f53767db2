/**
 * Interface of system and manual timers.
 */

/** A callback that is scheduled or registered with a timer. */
export interface Subscription {
  /** Cancels the callback; later calls have no effect. */
  cancel (): void
}

/** Provides the time and calls functions at given times. */
export interface Timer {
  /** Returns monotonic time in milliseconds. */
  now (): number
  /** Returns wall-clock time in milliseconds since the Unix epoch; used for logs and incarnation numbers only. */
  wallClockMs (): number
  /** Calls `fn` once after `delayMs` milliseconds. */
  after (delayMs: number, fn: () => void): Subscription
  /** Calls `fn` every `periodMs` milliseconds. */
  every (periodMs: number, fn: () => void): Subscription
  /** Calls `fn` after each pause of the process longer than `thresholdMs`, with the length of the pause in milliseconds. */
  onPause (thresholdMs: number, fn: (pausedMs: number) => void): Subscription
  /** Cancels every callback. */
  close (): void
}
