/**
 * An exchange that cannot begin.
 */
import { FailureKind } from './_types.ts'
import type { Exchange, ExchangeHandlers } from './_types.ts'

/** Returns an exchange that fails as malformed, once the caller has it. */
export function failAtOnce (message: string, handlers: ExchangeHandlers): Exchange {
  let isAborted = false
  queueMicrotask(() => { if (!isAborted) handlers.onFail({ kind: FailureKind.Malformed, message, isReused: false }) })
  return { abort () { isAborted = true }, pause () {}, resume () {} }
}
