/**
 * The answer of the engine stand-in as a function of the prompt.
 */

/** Describes the answer to a prompt. */
export interface ExpectedAnswer {
  tokens: string[]
  reason: 'stop' | 'length'
}

const fnvOffset = 0x811c9dc5
const fnvPrime = 0x01000193
const minTokens = 16
const tokenSpread = 48
const generatedWord = /^w\d+-[0-9a-z]+$/

/** Computes the 32-bit FNV-1a hash of the UTF-8 form of a text. */
export function hashFnv1a32 (text: string): number {
  let hash = fnvOffset
  for (const byte of Buffer.from(text)) {
    hash = Math.imul(hash ^ byte, fnvPrime) >>> 0
  }
  return hash
}

/** Splits a prompt into its tokens. */
export function splitPrompt (prompt: string): string[] {
  return prompt.split(/\s+/).filter((word) => word.length > 0)
}

/** Removes the generated words that a continued prompt carries at its end. */
export function stripGenerated (prompt: string): string {
  let end = prompt.length
  for (;;) {
    const space = prompt.lastIndexOf(' ', end - 1)
    if (space < 0 || !generatedWord.test(prompt.slice(space + 1, end))) return prompt.slice(0, end)
    end = space
  }
}

/**
 * Computes the hash under which an engine counts the prefills of a prompt.
 *
 * @param prompt the prompt; generated words at its end don't count
 * @returns the hash, a whole number of 32 bits
 *
 * @example
 * ```ts
 * import { promptHash } from 'briarloom/testing/engine'
 *
 * console.assert(promptHash('a b') === promptHash('a b'))
 * ```
 */
export function hashPrompt (prompt: string): number {
  return hashFnv1a32(stripGenerated(prompt))
}

/**
 * Computes the whole answer that the stand-in gives to a prompt.
 *
 * @param prompt the prompt; generated words at its end don't count
 * @param maxTokens the highest number of tokens
 * @returns the tokens and the reason of the end
 *
 * @example
 * ```ts
 * import { expectedAnswer } from 'briarloom/testing/engine'
 *
 * console.assert(expectedAnswer('a b', 3).tokens.length === 3)
 * ```
 */
export function computeExpectedAnswer (prompt: string, maxTokens: number): ExpectedAnswer {
  const hash = hashPrompt(prompt)
  const length = minTokens + hash % tokenSpread
  const count = Math.min(maxTokens, length)
  const tokens = Array.from({ length: count }, (_, i) => ` w${i}-${hash.toString(36)}`)
  return { tokens, reason: maxTokens < length ? 'length' : 'stop' }
}
