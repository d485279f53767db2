/**
 * Type checks for decoded JSON. Each function returns undefined when the value is missing or of another type.
 */

/** A decoded JSON object whose fields have unknown types. */
export type JsonObject = { readonly [name: string]: unknown }

/** Returns the value when it is an object, but neither null nor an array. */
export function asObject (value: unknown): JsonObject | undefined {
  return typeof value === 'object' && value !== null && !Array.isArray(value) ? value as JsonObject : undefined
}

/** Returns the value when it is an array. */
export function asArray (value: unknown): unknown[] | undefined {
  return Array.isArray(value) ? value : undefined
}

/** Returns the value when it is a string with at least one character. */
export function asNonEmptyString (value: unknown): string | undefined {
  return typeof value === 'string' && value !== '' ? value : undefined
}

const tokenPattern = /^[\x21-\x7e]{1,200}$/

/** Returns the value when it is a string of 1 to 200 visible ASCII characters, which a header and a path can carry. */
export function asToken (value: unknown): string | undefined {
  return typeof value === 'string' && tokenPattern.test(value) ? value : undefined
}

/** Returns the value when it is a finite number of at least 0. */
export function asNonNegativeNumber (value: unknown): number | undefined {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0 ? value : undefined
}

/** Returns the value when it is a safe integer of at least 0. */
export function asNonNegativeInteger (value: unknown): number | undefined {
  return Number.isSafeInteger(value) && (value as number) >= 0 ? value as number : undefined
}

/**
 * Returns the entry of a table whose name the value is. A value that is no string has no text form that could be relied on: that of a
 * deeply nested array overflows the stack.
 */
export function lookUpName<T> (table: { readonly [name: string]: T }, value: unknown): T | undefined {
  return typeof value === 'string' && Object.hasOwn(table, value) ? table[value] : undefined
}

/** Parses a JSON text; returns undefined when it is invalid or not an object. */
export function parseObject (text: string): JsonObject | undefined {
  try {
    return asObject(JSON.parse(text))
  } catch {
    return undefined // The callers report invalid JSON as they do an object without the required fields.
  }
}
