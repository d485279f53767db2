/**
 * Deadlines of calls. The timeouts of undici are accurate only to about a second, so the timer aborts the calls instead.
 */
import type { Timer } from '../timer/mod.ts'
import { toEngineError } from './_http_errors.ts'
import { EngineErrorKind } from './_types.ts'
import type { EngineError } from './_types.ts'

/** The deadline of one call. */
export interface Deadline {
  /** Aborts the call when the deadline expires or the caller's signal aborts. */
  signal: AbortSignal
  /** Converts what the call threw into an error: `timed_out` when the deadline expired, else as `toEngineError` in _http_errors.ts. */
  toEngineError (what: string, thrown: unknown): EngineError
  /** Stops the deadline. */
  clear (): void
}

/** Starts a deadline that expires after `ms` milliseconds, or never when `ms` is 0; aborting `callerSignal` aborts the call too. */
export function startDeadline (timer: Timer, ms: number, callerSignal?: AbortSignal): Deadline {
  const controller = new AbortController()
  let hasExpired = false
  const timeout = ms === 0
    ? undefined
    : timer.after(ms, () => {
      hasExpired = true
      controller.abort()
    })
  const abort = (): void => controller.abort()
  if (callerSignal?.aborted) abort()
  callerSignal?.addEventListener('abort', abort)

  return {
    signal: controller.signal,
    toEngineError (what, thrown) {
      const err = toEngineError(what, thrown)
      if (!hasExpired || err.kind !== EngineErrorKind.Cancelled) return err
      return { kind: EngineErrorKind.TimedOut, sent: true, message: `${what} had no answer after ${ms} ms` }
    },
    clear () {
      timeout?.cancel()
      callerSignal?.removeEventListener('abort', abort)
    }
  }
}
