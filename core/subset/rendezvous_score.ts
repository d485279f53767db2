/**
 * Hashes and scores for rendezvous hashing.
 */

const fnvOffset = 0x811c9dc5
const fnvPrime = 0x01000193
/** Prime near 2^32 divided by the golden ratio (Knuth); makes the hash of a pair depend on the order of its parts. */
const pairFactor = 0x9e3779b1
const uint32Range = 2 ** 32

/**
 * Hashes a text to 32 bits by FNV-1a and a final mix.
 *
 * @param text the text
 * @returns an unsigned integer below 2^32
 *
 * @example
 * ```ts
 * import { hashText } from 'briarloom/core/subset'
 *
 * console.assert(hashText('levis') === hashText('levis'))
 * ```
 */
export function hashText (text: string): number {
  let hash = fnvOffset
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), fnvPrime)
  return mix(hash)
}

/**
 * Combines two hashes into the hash of the pair.
 *
 * @param a hash of the first part
 * @param b hash of the second part
 * @returns an unsigned integer below 2^32
 *
 * @example
 * ```ts
 * import { hashPair, hashText } from 'briarloom/core/subset'
 *
 * console.assert(hashPair(hashText('a'), hashText('b')) !== hashPair(hashText('b'), hashText('a')))
 * ```
 */
export function hashPair (a: number, b: number): number {
  return mix(Math.imul(a, pairFactor) ^ b)
}

/**
 * Scores a node for a key. The node with the highest score owns the key; the share of keys of a node is proportional to its weight.
 *
 * @param key the key to place
 * @param node the name of the node
 * @param weight the weight of the node relative to others; 0 never wins against a positive one
 * @returns a score, not below 0
 *
 * @example
 * ```ts
 * import { rendezvousScore } from 'briarloom/core/subset'
 *
 * const nodes = ['a', 'b', 'c']
 * const owner = nodes.reduce((best, node) => rendezvousScore('key', node) > rendezvousScore('key', best) ? node : best)
 * console.assert(nodes.includes(owner))
 * ```
 */
export function rendezvousScore (key: string, node: string, weight = 1): number {
  const uniform = (hashPair(hashText(key), hashText(node)) + 0.5) / uint32Range
  return weight / -Math.log(uniform)
}

/** Mixes the bits of a hash by the final step of MurmurHash3. */
function mix (hash: number): number {
  let h = hash
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b)
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35)
  return (h ^ (h >>> 16)) >>> 0
}
