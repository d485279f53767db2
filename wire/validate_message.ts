/**
 * Checks that a decoded value is a message of the protocol.
 */
import { Err, Ok } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'
import type { Check } from './_checks.ts'
import { messageChecks } from './_message_checks.ts'
import type { Message } from './messages.ts'
import { WireErrorKind } from './wire_error.ts'
import type { WireError } from './wire_error.ts'

const tables = new Map<unknown, Array<[string, Check]>>(
  Object.entries(messageChecks).map(([kind, fields]) => [kind, Object.entries<Check>(fields)])
)

/**
 * Checks a value against the fields of its kind of message. Fields beyond those are let through, so that a newer
 * process may add some.
 *
 * @param value the decoded value
 * @returns the message, or `bad_message` naming the kind, the field and what was expected
 *
 * @example
 * ```ts
 * import { validateMessage } from 'briarloom/wire'
 *
 * console.assert(validateMessage({ kind: 'resume', requestId: 'r1', attempt: -1 }).err)
 * ```
 */
export function validateMessage (value: unknown): Result<Message, WireError> {
  if (typeof value !== 'object' || value === null) return Err(badMessage('a message must be a map'))
  const fields = value as Record<string, unknown>
  const table = tables.get(fields.kind)
  if (table === undefined) return Err(badMessage(`message kind ${quote(fields.kind)} is not known`))
  for (const [name, test] of table) {
    if (!test(fields[name])) return Err(badMessage(`field "${name}" of message "${fields.kind}" must be ${test.expected}`))
  }
  return Ok(value as Message)
}

function badMessage (message: string): WireError {
  return { kind: WireErrorKind.BadMessage, message }
}

function quote (value: unknown): string {
  return typeof value === 'string' ? `"${value.slice(0, 40)}"` : `of type ${typeof value}`
}
