/**
 * Reads and validates scenario files.
 */
import { readFile } from 'node:fs/promises'
import { z } from 'zod'

const positive = z.number().positive()
const count = z.number().int().positive()

const loadClass = z.strictObject({
  /** Name of the caller. */
  caller: z.string().min(1),
  tier: z.enum(['paid', 'free']),
  /** Share of the requests, from 0 to 1. */
  share: z.number().min(0).max(1),
  /** Number of distinct prompt prefixes that the requests share. */
  templates: count,
  /** Length of each shared prefix in tokens. */
  templateTokens: count,
  /** Bounds of the number of prompt tokens, which is log-uniform between them. */
  minTokens: count,
  maxTokens: count,
  /** Maximum number of tokens of an answer. */
  answerTokens: count
})

const scenarioSchema = z.strictObject({
  firm: z.enum(['fleuve', 'velluto']),
  /** Name of the figure that matters most in this scenario; it is only printed. */
  weighs: z.string(),
  zones: z.array(z.string()).min(1),
  entries: count,
  prefill: count,
  decode: count,
  targets: z.strictObject({ firstTokenMs: positive, betweenTokensMs: positive }),
  engine: z.strictObject({
    seats: count, pieces: count, tokensPerPiece: count, prefillMsPerToken: positive, stepMs: positive, stepMsPerSeat: positive
  }),
  classes: z.array(loadClass).min(1)
})

/** The requests of one caller in a scenario. */
export type LoadClass = z.output<typeof loadClass>

/** A scenario: the engines, latency targets in milliseconds and load of one deployment. */
export type Scenario = z.output<typeof scenarioSchema>

/**
 * Reads a scenario file.
 *
 * @param name the name of the file in `bench/scenarios`, without its extension
 * @returns the scenario
 * @throws when the file does not exist or is not a valid scenario
 *
 * @example
 * ```ts
 * const scenario = await loadScenario('fleuve')
 * console.assert(scenario.classes.length > 0)
 * ```
 */
export async function loadScenario (name: string): Promise<Scenario> {
  return scenarioSchema.parse(JSON.parse(await readFile(`bench/scenarios/${name}.json`, 'utf8')))
}
