/**
 * Flags and options of the command `load`.
 */
import { z } from 'zod'
import { Err, Ok } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'

const positiveNumber = z.coerce.number().positive()
const positiveInteger = z.coerce.number().int().min(1)

const wordRange = z.string().regex(/^\d+(:\d+)?$/).transform((text) => {
  const [low = 1, high = low] = text.split(':').map(Number)
  return { low: Math.max(1, low), high: Math.max(1, low, high) }
})

const flagsSchema = z.object({
  url: z.url({ protocol: /^https?$/ }),
  key: z.string().min(1),
  model: z.string().min(1),
  rate: positiveNumber,
  seconds: positiveNumber,
  seed: z.coerce.number().int(),
  words: wordRange,
  'max-tokens': positiveInteger,
  'first-token-ms': positiveNumber,
  'between-tokens-ms': positiveNumber,
  'max-open': positiveInteger
})

/** Describes one load run. */
export interface LoadOptions {
  /** Base URL of an entry. */
  url: string
  /** API key of the caller. */
  key: string
  model: string
  /** Mean number of requests that start per second. */
  ratePerS: number
  durationMs: number
  /** Seed of the arrival times and prompts. */
  seed: number
  /** Shortest and longest prompt, in words. */
  words: { low: number, high: number }
  /** Maximum number of tokens that a response may have. */
  maxTokens: number
  /** Target for the time to the first token, in milliseconds. */
  firstTokenMs: number
  /** Target for the mean time between the tokens of one response, in milliseconds. */
  betweenTokensMs: number
  /** Maximum number of requests in flight; a request that is due beyond it is not sent and is counted as such. */
  maxInFlight: number
}

/** Flags of the command `load`, with their help text and default; a flag without a default is required. */
export const loadFlags: Array<[flag: string, help: string, defaultValue?: string | number]> = [
  ['--url', 'Base URL of an entry'],
  ['--key', 'API key of the caller'],
  ['--model', 'Model that the requests name'],
  ['--rate', 'Mean number of requests started per second', 5],
  ['--seconds', 'Duration of the run in seconds', 10],
  ['--seed', 'Seed of the arrival times and prompts', 1],
  ['--words', 'Number of words of a prompt, or a range LOW:HIGH', '100:400'],
  ['--max-tokens', 'Maximum number of tokens of a response', 64],
  ['--first-token-ms', 'Target for the time to the first token, in milliseconds', 1200],
  ['--between-tokens-ms', 'Target for the mean time between tokens, in milliseconds', 30],
  ['--max-open', 'Maximum number of requests in flight; requests beyond it are not sent', 10000]
]

/** Parses the flags of the command `load`; the error names the first flag that is missing or invalid. */
export function parseLoadOptions (flags: Record<string, unknown>): Result<LoadOptions, string> {
  const parsed = flagsSchema.safeParse(flags)
  if (!parsed.success) {
    const [issue] = parsed.error.issues
    return Err(`--${issue?.path.join('.')} is missing or invalid: ${issue?.message}`)
  }
  const value = parsed.data
  return Ok({
    url: value.url,
    key: value.key,
    model: value.model,
    ratePerS: value.rate,
    durationMs: value.seconds * 1000,
    seed: value.seed,
    words: value.words,
    maxTokens: value['max-tokens'],
    firstTokenMs: value['first-token-ms'],
    betweenTokensMs: value['between-tokens-ms'],
    maxInFlight: value['max-open']
  })
}
