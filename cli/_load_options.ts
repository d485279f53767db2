/**
 * Options of the load tool.
 */
import { z } from 'zod'
import { Err, Ok } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'

const positive = z.coerce.number().positive()
const count = z.coerce.number().int().min(1)

const wordRange = z.string().regex(/^\d+(:\d+)?$/).transform((text) => {
  const [low = 1, high = low] = text.split(':').map(Number)
  return { low: Math.max(1, low), high: Math.max(1, low, high) }
})

const schema = z.object({
  url: z.url({ protocol: /^https?$/ }),
  key: z.string().min(1),
  model: z.string().min(1),
  rate: positive,
  seconds: positive,
  seed: z.coerce.number().int(),
  words: wordRange,
  'max-tokens': count,
  'first-token-ms': positive,
  'between-tokens-ms': positive,
  'max-open': count
})

/** Describes one run of load. */
export interface LoadOptions {
  /** Base URL of an entry. */
  url: string
  key: string
  model: string
  /** Requests started each second, on average. */
  ratePerS: number
  durationMs: number
  seed: number
  /** Length of the prompts in words. */
  words: { low: number, high: number }
  maxTokens: number
  /** Target for the time to the first token, in milliseconds. */
  firstTokenMs: number
  /** Target for the mean time between tokens of one answer, in milliseconds. */
  betweenTokensMs: number
  /** Largest number of requests in flight; those beyond it count as not sent. */
  maxInFlight: number
}

/** Defaults of the flags of the load tool, and what they mean. */
export const loadFlags: Array<[flag: string, meaning: string, value?: string | number]> = [
  ['--url', 'Base URL of an entry'],
  ['--key', 'API key of the caller'],
  ['--model', 'Model to ask for'],
  ['--rate', 'Requests started each second', 5],
  ['--seconds', 'Length of the run in seconds', 10],
  ['--seed', 'Seed of arrival times and prompts', 1],
  ['--words', 'Words of a prompt, or LOW:HIGH', '100:400'],
  ['--max-tokens', 'Longest answer in tokens', 64],
  ['--first-token-ms', 'Target for the time to the first token', 1200],
  ['--between-tokens-ms', 'Target for the mean time between tokens', 30],
  ['--max-open', 'Requests in flight beyond which none are started', 10000]
]

/** Reads the flags of the load tool; the error names the flag. */
export function parseLoadOptions (flags: Record<string, unknown>): Result<LoadOptions, string> {
  const parsed = schema.safeParse(flags)
  if (!parsed.success) {
    const [issue] = parsed.error.issues
    return Err(`--${issue?.path.join('.')} is missing or wrong: ${issue?.message}`)
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
