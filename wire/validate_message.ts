/**
 * Checks whether a decoded value is a message of the protocol.
 */
import { Err, Ok } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'
import type { Check } from './_checks.ts'
import { messageChecks } from './_message_checks.ts'
import type { Message } from './messages.ts'
import { WireErrorKind } from './wire_error.ts'
import type { WireError } from './wire_error.ts'

const checksByKind = new Map<unknown, Array<[string, Check]>>(
  Object.entries(messageChecks).map(([kind, fields]) => [kind, Object.entries<Check>(fields)])
)

/**
 * Checks a value against the fields of its kind of message. Unknown fields are accepted, so that newer processes can add
 * fields.
 *
 * @param value the decoded value
 * @returns the message, or the error `bad_message`, whose text names the kind, the field and the expected form
 *
 * @example
 * ```ts
 * import { validateMessage } from 'briarloom/wire'
 *
 * console.assert(validateMessage({ kind: 'resume', requestId: 'r1', attempt: -1 }).err)
 * ```
 */
export function validateMessage (value: unknown): Result<Message, WireError> {
  if (typeof value !== 'object' || value === null) return Err(badMessageError('a message must be a map'))
  const fields = value as Record<string, unknown>
  const checks = checksByKind.get(fields.kind)
  if (checks === undefined) return Err(badMessageError(`message kind ${describeKind(fields.kind)} is not known`))
  for (const [name, test] of checks) {
    if (!test(fields[name])) return Err(badMessageError(`field "${name}" of message "${fields.kind}" must be ${test.expected}`))
  }
  return Ok(value as Message)
}

function badMessageError (message: string): WireError {
  return { kind: WireErrorKind.BadMessage, message }
}

function describeKind (value: unknown): string {
  return typeof value === 'string' ? `"${value.slice(0, 40)}"` : `of type ${typeof value}`
}
