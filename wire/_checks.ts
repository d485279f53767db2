/**
 * Predicates for the fields of incoming messages.
 */

/** Returns whether a value has the expected form. */
export interface Check {
  (value: unknown): boolean
  /** Description of the expected form, for error messages. */
  expected: string
}

const maxNameLength = 512

function createCheck (expected: string, test: (value: unknown) => boolean): Check {
  return Object.assign((value: unknown) => test(value), { expected })
}

/** Accepts strings of any length, which only the size of the frame bounds. */
export const isString = createCheck('a string', (value) => typeof value === 'string')

/** Accepts short strings that serve as names and keys. */
export const isName = createCheck(`a string of at most ${maxNameLength} characters`, (value) =>
  typeof value === 'string' && value.length <= maxNameLength)

/** Accepts safe integers that are not negative. */
export const isCount = createCheck('an integer from 0 up', (value) => Number.isSafeInteger(value) && (value as number) >= 0)

/** Accepts finite numbers that are not negative. */
export const isAmount = createCheck('a number from 0 up', (value) => Number.isFinite(value) && (value as number) >= 0)

/** Accepts finite numbers. */
export const isNumber = createCheck('a number', (value) => Number.isFinite(value))

/** Accepts true and false. */
export const isBoolean = createCheck('true or false', (value) => typeof value === 'boolean')

/** Accepts byte strings. */
export const isBytes = createCheck('a byte string', (value) => value instanceof Uint8Array)

/** Accepts objects that are neither null nor arrays. */
export const isMap = createCheck('a map', (value) =>
  typeof value === 'object' && value !== null && !Array.isArray(value) && !(value instanceof Uint8Array))

/** Accepts maps whose values are strings. */
export const isStringMap = createCheck('a map of strings', (value) => isMap(value) &&
  Object.values(value as Record<string, unknown>).every(isString))

/** Returns a check that accepts the listed strings. */
export function oneOf (values: readonly string[]): Check {
  const set = new Set<unknown>(values)
  return createCheck(`one of ${values.join(', ')}`, (value) => set.has(value))
}

/** Returns a check that accepts arrays whose items all pass. */
export function listOf (item: Check): Check {
  return createCheck(`a list, each item ${item.expected}`, (value) => Array.isArray(value) && value.every((entry) => item(entry)))
}

/** Returns a check that accepts `undefined` and values that pass. */
export function optional (inner: Check): Check {
  return createCheck(`absent or ${inner.expected}`, (value) => value === undefined || inner(value))
}

/** Returns a check that accepts null and values that pass. */
export function nullable (inner: Check): Check {
  return createCheck(`null or ${inner.expected}`, (value) => value === null || inner(value))
}

/** Returns a check that accepts maps whose listed fields pass; the type requires a check for each field of `T`. */
export function shape<T> (fields: { [F in keyof T]-?: Check }): Check {
  const entries = Object.entries<Check>(fields)
  const names = entries.map(([name]) => name).join(', ')
  return createCheck(`a map with ${names}`, (value) => isMap(value) &&
    entries.every(([name, test]) => test((value as Record<string, unknown>)[name])))
}
