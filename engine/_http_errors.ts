/**
 * Turns failures of HTTP calls into engine errors.
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

const kindsByText = new Map([
  ['fenced', EngineErrorKind.Fenced],
  ['cancelled', EngineErrorKind.Cancelled]
])

/** Builds the error of a call that failed without an answer. */
export function toEngineError (what: string, thrown: unknown): EngineError {
  const err = thrown as NodeError
  const message = `${what} failed: ${err.message ?? String(thrown)}`
  // Only a connection that never came about proves that no byte was sent.
  if (err.syscall === 'connect' || err.code === 'UND_ERR_CONNECT_TIMEOUT') {
    return { kind: EngineErrorKind.Unreachable, sent: false, message }
  }
  if (err.name === 'AbortError') return { kind: EngineErrorKind.Cancelled, sent: true, message }
  return { kind: EngineErrorKind.Broken, sent: true, message }
}

/** Builds the error of a call that the backend server answered with another status than 200. */
export function toStatusError (what: string, status: number, body: string): EngineError {
  const text = errorText(body)
  const kind = kindsByStatus.get(status) ?? kindsByText.get(text) ?? EngineErrorKind.Refused
  return { kind, sent: true, message: `${what} was answered with status ${status}: ${text}` }
}

function errorText (body: string): string {
  try {
    return String((JSON.parse(body) as { error?: unknown }).error ?? body)
  } catch {
    return body
  }
}
