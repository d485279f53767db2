/**
 * Converts failures of HTTP calls into engine errors.
 */
import { EngineErrorKind } from './_types.ts'
import type { EngineError } from './_types.ts'

interface NodeError {
  code?: string
  name?: string
  syscall?: string
  message?: string
}

const kindsByStatus = new Map([
  [410, EngineErrorKind.PrefillExpired]
])

const kindsByErrorText = new Map([
  ['fenced', EngineErrorKind.Fenced],
  ['cancelled', EngineErrorKind.Cancelled]
])

/** Converts what a call without an answer threw into an error: `unreachable`, `cancelled` or `broken`. `what` names the call. */
export function toEngineError (what: string, thrown: unknown): EngineError {
  const err = thrown as NodeError
  const message = `${what} failed: ${err.message ?? String(thrown)}`
  // Only a connection that was never established proves that no byte was sent.
  if (err.syscall === 'connect' || err.code === 'UND_ERR_CONNECT_TIMEOUT') {
    return { kind: EngineErrorKind.Unreachable, sent: false, message }
  }
  if (err.name === 'AbortError') return { kind: EngineErrorKind.Cancelled, sent: true, message }
  return { kind: EngineErrorKind.Broken, sent: true, message }
}

/** Converts an answer with a status other than 200 into an error; `refused` when neither the status nor the text is known. */
export function toStatusError (what: string, status: number, body: string): EngineError {
  const text = readErrorText(body)
  const kind = kindsByStatus.get(status) ?? kindsByErrorText.get(text) ?? EngineErrorKind.Refused
  return { kind, sent: true, message: `${what} was answered with status ${status}: ${text}` }
}

function readErrorText (body: string): string {
  try {
    return String((JSON.parse(body) as { error?: unknown }).error ?? body)
  } catch {
    return body
  }
}
