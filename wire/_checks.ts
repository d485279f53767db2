/**
 * Checks for the fields of incoming messages.
 */

/** Tells whether a value has the expected form. */
export interface Check {
  (value: unknown): boolean
  /** The expected form, for error texts. */
  expected: string
}

const maxNameLength = 512

function check (expected: string, test: (value: unknown) => boolean): Check {
  return Object.assign((value: unknown) => test(value), { expected })
}

/** Accepts strings of any length; the frame bounds it. */
export const isString = check('a string', (value) => typeof value === 'string')

/** Accepts short strings that serve as names and keys. */
export const isName = check(`a string of at most ${maxNameLength} characters`, (value) =>
  typeof value === 'string' && value.length <= maxNameLength)

/** Accepts integers from 0 up. */
export const isCount = check('an integer from 0 up', (value) => Number.isSafeInteger(value) && (value as number) >= 0)

/** Accepts finite numbers from 0 up. */
export const isAmount = check('a number from 0 up', (value) => Number.isFinite(value) && (value as number) >= 0)

/** Accepts true and false. */
export const isBoolean = check('true or false', (value) => typeof value === 'boolean')

/** Accepts byte strings. */
export const isBytes = check('a byte string', (value) => value instanceof Uint8Array)

/** Accepts objects that are neither null nor arrays. */
export const isMap = check('a map', (value) =>
  typeof value === 'object' && value !== null && !Array.isArray(value) && !(value instanceof Uint8Array))

/** Accepts maps whose values are strings. */
export const isStringMap = check('a map of strings', (value) => isMap(value) &&
  Object.values(value as Record<string, unknown>).every(isString))

/** Accepts one of the listed strings. */
export function oneOf (values: readonly string[]): Check {
  const set = new Set<unknown>(values)
  return check(`one of ${values.join(', ')}`, (value) => set.has(value))
}

/** Accepts arrays whose items all pass. */
export function listOf (item: Check): Check {
  return check(`a list, each item ${item.expected}`, (value) => Array.isArray(value) && value.every((entry) => item(entry)))
}

/** Accepts absent values and those that pass. */
export function optional (inner: Check): Check {
  return check(`absent or ${inner.expected}`, (value) => value === undefined || inner(value))
}

/** Accepts null and values that pass. */
export function nullable (inner: Check): Check {
  return check(`null or ${inner.expected}`, (value) => value === null || inner(value))
}

/** Accepts maps whose fields pass; every field of the type has its check. */
export function shape<T> (fields: { [F in keyof T]-?: Check }): Check {
  const entries = Object.entries<Check>(fields)
  const names = entries.map(([name]) => name).join(', ')
  return check(`a map with ${names}`, (value) => isMap(value) &&
    entries.every(([name, test]) => test((value as Record<string, unknown>)[name])))
}
