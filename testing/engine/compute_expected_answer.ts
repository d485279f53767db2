/**
 * The answer that the engine stand-in generates, which depends only on the prompt and the highest number of tokens.
 */

/** Describes the answer to a prompt. */
export interface ExpectedAnswer {
  tokens: string[]
  /** `length` when the highest number of tokens cut the answer short. */
  reason: 'stop' | 'length'
}

const fnvOffset = 0x811c9dc5
const fnvPrime = 0x01000193
/** Lengths of answers are spread over `minAnswerTokens` and the `answerLengths - 1` numbers above it. */
const minAnswerTokens = 16
const answerLengths = 48
const generatedWordPattern = /^w\d+-[0-9a-z]+$/

/** Computes the 32-bit FNV-1a hash of the UTF-8 form of a text. */
export function hashFnv1a32 (text: string): number {
  let hash = fnvOffset
  for (const byte of Buffer.from(text)) {
    hash = Math.imul(hash ^ byte, fnvPrime) >>> 0
  }
  return hash
}

/** Splits a prompt into its tokens, which are its words. */
export function splitPrompt (prompt: string): string[] {
  return prompt.split(/\s+/).filter((word) => word.length > 0)
}

/** Returns a prompt without the generated words at its end, which it has when it continues an answer. */
export function stripGeneratedWords (prompt: string): string {
  let end = prompt.length
  for (;;) {
    const space = prompt.lastIndexOf(' ', end - 1)
    if (space < 0 || !generatedWordPattern.test(prompt.slice(space + 1, end))) return prompt.slice(0, end)
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
 * import { hashPrompt } from 'briarloom/testing/engine'
 *
 * console.assert(hashPrompt('a b') === hashPrompt('a b'))
 * ```
 */
export function hashPrompt (prompt: string): number {
  return hashFnv1a32(stripGeneratedWords(prompt))
}

/**
 * Computes the whole answer that the engine stand-in generates for a prompt.
 *
 * @param prompt the prompt; generated words at its end don't count
 * @param maxTokens the highest number of tokens
 * @returns the tokens, and the reason why the answer ends
 *
 * @example
 * ```ts
 * import { computeExpectedAnswer } from 'briarloom/testing/engine'
 *
 * console.assert(computeExpectedAnswer('a b', 3).tokens.length === 3)
 * ```
 */
export function computeExpectedAnswer (prompt: string, maxTokens: number): ExpectedAnswer {
  const hash = hashPrompt(prompt)
  const length = minAnswerTokens + hash % answerLengths
  const count = Math.min(maxTokens, length)
  const tokens = Array.from({ length: count }, (_, i) => ` w${i}-${hash.toString(36)}`)
  return { tokens, reason: maxTokens < length ? 'length' : 'stop' }
}
