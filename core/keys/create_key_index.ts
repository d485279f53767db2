/**
 * Finds the holder of an API key.
 */
import { hash } from 'node:crypto'

/** A key, as the SHA-256 digest in lower-case hexadecimal, and who holds it. */
export interface KeyHolder<T> {
  digest: string
  holder: T
}

/** Holders by key. */
export interface KeyIndex<T> {
  /** Returns who holds a key; undefined when nobody does. Takes the same time for any number of keys. */
  find (key: string): T | undefined
}

/** Returns the SHA-256 digest of a key in hexadecimal. */
export function digestKey (key: string): string {
  return hash('sha256', key, 'hex')
}

/** Number of hexadecimal digits of the digest that name a key in logs: enough to tell keys apart, and too few to find one. */
const labelDigits = 8

/** Returns the first digits of the digest of a key, which name it in logs. */
export function getKeyLabel (key: string): string {
  return digestKey(key).slice(0, labelDigits)
}

/**
 * Creates the index of the holders of keys. It has and compares only digests, so that neither its memory nor the time of a lookup tells
 * anything about the keys.
 *
 * @param holders the keys and their holders; the first of two that name the same key holds it
 * @returns the index
 *
 * @example
 * ```ts
 * import { createKeyIndex, digestKey } from 'briarloom/core/keys'
 *
 * const index = createKeyIndex([{ digest: digestKey('k-1'), holder: 'north' }])
 * console.assert(index.find('k-1') === 'north' && index.find('k-2') === undefined)
 * ```
 */
export function createKeyIndex<T> (holders: Iterable<KeyHolder<T>>): KeyIndex<T> {
  const holdersByDigest = new Map<string, T>()
  for (const { digest, holder } of holders) if (!holdersByDigest.has(digest)) holdersByDigest.set(digest, holder)
  return { find: (key) => holdersByDigest.get(digestKey(key)) }
}
