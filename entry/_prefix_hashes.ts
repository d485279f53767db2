/**
 * Hashes prompt prefixes, by which the router finds engines that hold them in their prefix cache.
 */
import xxhash from 'xxhash-wasm'

/** The hashed prefixes of a prompt. */
export interface PrefixHashes {
  /** Hashes of the prefixes, shortest first. */
  prefixes: string[]
  /** Number of words that the longest prefix covers; a word counts as one token. */
  prefixTokens: number
}

const blockWords = 64
const maxBlocks = 32
const wordPattern = /\S+\s*/g
const hashRadix = 36

/** Creates a function that hashes the prefixes of a prompt that are whole blocks of 64 words, up to 32 blocks. */
export async function createPrefixHasher (): Promise<(prompt: string) => PrefixHashes> {
  const { h32 } = await xxhash()
  return (prompt) => {
    // Bounds the work on a long prompt: reads 16 characters for each word of the longest prefix.
    const words = prompt.slice(0, maxBlocks * blockWords * 16).match(wordPattern) ?? []
    const blocks = Math.min(maxBlocks, Math.floor(words.length / blockWords))
    const prefixes: string[] = []
    let hash = 0
    for (let i = 0; i < blocks; i++) {
      hash = h32(words.slice(i * blockWords, (i + 1) * blockWords).join(''), hash)
      prefixes.push(hash.toString(hashRadix))
    }
    return { prefixes, prefixTokens: blocks * blockWords }
  }
}
