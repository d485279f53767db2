/**
 * Finds the known key that an unknown key was probably meant to be.
 */

/** Returns the number of single-character edits between two words. */
function editDistance (a: string, b: string): number {
  let previous = Array.from({ length: b.length + 1 }, (_, i) => i)
  for (let i = 1; i <= a.length; i++) {
    const row = [i]
    for (let j = 1; j <= b.length; j++) {
      const replaced = (previous[j - 1] as number) + (a[i - 1] === b[j - 1] ? 0 : 1)
      row.push(Math.min(replaced, (previous[j] as number) + 1, (row[j - 1] as number) + 1))
    }
    previous = row
  }
  return previous[b.length] as number
}

/** Longest key that is compared, in characters. */
const maxKeyLength = 64

/**
 * Returns the known key with the fewest edits to the given one.
 *
 * @param key the unknown key
 * @param known the known keys
 * @returns the nearest key, or undefined when none is known
 *
 * @example
 * ```ts
 * import { nearestKey } from 'briarloom/settings'
 *
 * console.assert(nearestKey('prot', ['host', 'port']) === 'port')
 * ```
 */
export function findNearestKey (key: string, known: string[]): string | undefined {
  const short = key.slice(0, maxKeyLength).toLowerCase()
  const ranked = known.map((name) => ({ name, distance: editDistance(short, name.toLowerCase()) }))
  return ranked.sort((a, b) => a.distance - b.distance)[0]?.name
}
