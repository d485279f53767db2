/**
 * A timeout for one call. The timeouts of undici are only about a second exact, so calls are aborted by the timer.
 */
import type { Timer } from '../timer/mod.ts'
import { toEngineError } from './_http_errors.ts'
import { EngineErrorKind } from './_types.ts'
import type { EngineError } from './_types.ts'

/** The timeout of a call. */
export interface Deadline {
  signal: AbortSignal
  /** Builds the error of the call when it failed without an answer. */
  toEngineError (what: string, thrown: unknown): EngineError
  /** Ends the timeout. */
  clear (): void
}

/** Starts a timeout of `ms` milliseconds; 0 never fires. The call is also aborted with `outer`. */
export function startDeadline (timer: Timer, ms: number, outer?: AbortSignal): Deadline {
  const controller = new AbortController()
  let expired = false
  const sub = ms === 0
    ? undefined
    : timer.after(ms, () => {
      expired = true
      controller.abort()
    })
  const abort = (): void => controller.abort()
  if (outer?.aborted) abort()
  outer?.addEventListener('abort', abort)

  return {
    signal: controller.signal,
    toEngineError (what, thrown) {
      const err = toEngineError(what, thrown)
      if (!expired || err.kind !== EngineErrorKind.Cancelled) return err
      return { kind: EngineErrorKind.TimedOut, sent: true, message: `${what} had no answer after ${ms} ms` }
    },
    clear () {
      sub?.cancel()
      outer?.removeEventListener('abort', abort)
    }
  }
}
