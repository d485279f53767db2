/**
 * Finds the known key that an unknown key is probably a misspelling of.
 */

/** Returns the Levenshtein distance: the fewest single-character edits that turn one word into the other. */
function countEdits (a: string, b: string): number {
  let previous = Array.from({ length: b.length + 1 }, (_, i) => i)
  for (let i = 1; i <= a.length; i++) {
    const row = [i]
    for (let j = 1; j <= b.length; j++) {
      const substitution = (previous[j - 1] as number) + (a[i - 1] === b[j - 1] ? 0 : 1)
      row.push(Math.min(substitution, (previous[j] as number) + 1, (row[j - 1] as number) + 1))
    }
    previous = row
  }
  return previous[b.length] as number
}

/** Characters of the unknown key that are compared; the time of a comparison grows with the length of the key. */
const maxComparedChars = 64

/**
 * Returns the known key that takes the fewest single-character edits to reach; upper and lower case count as equal.
 *
 * @param key the unknown key
 * @param known the known keys
 * @returns the nearest key, the first of several at the same distance; undefined when `known` is empty
 *
 * @example
 * ```ts
 * import { findNearestKey } from 'briarloom/settings'
 *
 * console.assert(findNearestKey('prot', ['host', 'port']) === 'port')
 * ```
 */
export function findNearestKey (key: string, known: string[]): string | undefined {
  const short = key.slice(0, maxComparedChars).toLowerCase()
  const ranked = known.map((name) => ({ name, distance: countEdits(short, name.toLowerCase()) }))
  return ranked.sort((a, b) => a.distance - b.distance)[0]?.name
}
