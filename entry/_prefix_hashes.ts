/**
 * Hashes of the beginnings of prompts, by which the router finds engines that hold them in their prefix cache.
 */
import xxhash from 'xxhash-wasm'

/** Describes the beginnings of a prompt. */
export interface PrefixHashes {
  /** Hashes of the beginnings, shortest first. */
  prefixes: string[]
  /** Number of words that the longest beginning covers. */
  prefixTokens: number
}

const blockWords = 64
const maxBlocks = 32
const wordPattern = /\S+\s*/g
const radix = 36

/** Creates the function that hashes the beginnings of a prompt in whole blocks. */
export async function createPrefixHasher (): Promise<(prompt: string) => PrefixHashes> {
  const { h32 } = await xxhash()
  return (prompt) => {
    const words = prompt.slice(0, maxBlocks * blockWords * 16).match(wordPattern) ?? []
    const blocks = Math.min(maxBlocks, Math.floor(words.length / blockWords))
    const prefixes: string[] = []
    let hash = 0
    for (let i = 0; i < blocks; i++) {
      hash = h32(words.slice(i * blockWords, (i + 1) * blockWords).join(''), hash)
      prefixes.push(hash.toString(radix))
    }
    return { prefixes, prefixTokens: blocks * blockWords }
  }
}
