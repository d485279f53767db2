/**
 * Plans an open-loop load that is reproducible by its seed.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { LoadClass, Scenario } from './load_scenario.ts'

/** Describes one planned request. */
export interface PlannedRequest {
  /** Time in milliseconds from the start of the run at which the request is sent. */
  atMs: number
  caller: string
  tier: 'paid' | 'free'
  prompt: string
  promptTokens: number
  /** Maximum number of tokens of the answer. */
  answerTokens: number
}

/** Configures a plan. */
export interface PlanLoadOptions {
  /** Requests per second over all classes. */
  ratePerS: number
  durationMs: number
  seed: number
}

/** Mean length of the stand-in's answers, which are uniform from 16 to 63 tokens. */
const meanAnswerTokens = 39.5

/** Computes the mean of the log-uniform number of prompt tokens. */
function computeMeanPromptTokens ({ minTokens, maxTokens }: LoadClass): number {
  return minTokens === maxTokens ? minTokens : (maxTokens - minTokens) / Math.log(maxTokens / minTokens)
}

/**
 * Estimates the request rate that saturates the scenario's engines: the lower one of the rates that all prefill engines
 * and all decode engines can process, without hits in the prefix cache.
 *
 * @param scenario the engines and the load
 * @returns requests per second
 *
 * @example
 * ```ts
 * console.log(estimateSaturationPerS(await loadScenario('fleuve')))
 * ```
 */
export function estimateSaturationPerS (scenario: Scenario): number {
  const { engine, classes } = scenario
  const promptTokens = classes.reduce((sum, loadClass) => sum + loadClass.share * computeMeanPromptTokens(loadClass), 0)
  const prefillPerS = scenario.prefill * 1000 / (promptTokens * engine.prefillMsPerToken)
  const piecesPerRequest = (promptTokens + meanAnswerTokens) / engine.tokensPerPiece
  const seats = Math.min(engine.seats, engine.pieces / piecesPerRequest)
  const stepMs = engine.stepMs + engine.stepMsPerSeat * seats
  const decodePerS = scenario.decode * seats * 1000 / (stepMs * meanAnswerTokens)
  return Math.min(prefillPerS, decodePerS)
}

/** Picks a class with a probability in proportion to its share; `fraction` is random from 0 to 1. */
function pickClass (classes: LoadClass[], fraction: number): LoadClass {
  const total = classes.reduce((sum, loadClass) => sum + loadClass.share, 0)
  let remaining = fraction * total
  for (const loadClass of classes) {
    remaining -= loadClass.share
    if (remaining < 0) return loadClass
  }
  const last = classes.at(-1)
  if (last === undefined) throw new Error('cannot plan a load without request classes')
  return last
}

/** Builds a prompt of a shared template followed by words that only this request has. */
function buildPrompt (loadClass: LoadClass, tokens: number, template: number, id: string): string {
  const prefix = Array.from({ length: loadClass.templateTokens }, (_, i) => `${loadClass.caller}${template}.${i}`)
  const body = Array.from({ length: Math.max(1, tokens - loadClass.templateTokens) }, (_, i) => `${id}.${i}`)
  return [...prefix, ...body].join(' ')
}

/**
 * Plans the requests of one run, with Poisson arrivals, callers in proportion to their shares, and log-uniform prompt sizes.
 *
 * @param classes the request classes, one for each caller
 * @param options the rate, the duration in milliseconds and the seed
 * @returns the requests, ordered by time; the same seed gives the same requests
 *
 * @example
 * ```ts
 * const { classes } = await loadScenario('fleuve')
 * console.log(planLoad(classes, { ratePerS: 10, durationMs: 1000, seed: 1 }).length)
 * ```
 */
export function planLoad (classes: LoadClass[], options: PlanLoadOptions): PlannedRequest[] {
  const generator = xoroshiro128plus(options.seed)
  const nextFraction = (): number => uniformFloat64(generator)
  const planned: PlannedRequest[] = []
  let atMs = 0
  for (;;) {
    atMs += -Math.log(1 - nextFraction()) * 1000 / options.ratePerS
    if (atMs >= options.durationMs) return planned
    const loadClass = pickClass(classes, nextFraction())
    const promptTokens = Math.round(loadClass.minTokens * (loadClass.maxTokens / loadClass.minTokens) ** nextFraction())
    const template = Math.floor(nextFraction() * loadClass.templates)
    const prompt = buildPrompt(loadClass, promptTokens, template, `${options.seed}-${planned.length}`)
    planned.push({ atMs, caller: loadClass.caller, tier: loadClass.tier, prompt, promptTokens, answerTokens: loadClass.answerTokens })
  }
}
