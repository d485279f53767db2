/**
 * Plans an open-loop load from a seed.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { LoadClass, Scenario } from './load_scenario.ts'

/** Describes one planned request. */
export interface PlannedRequest {
  atMs: number
  caller: string
  tier: 'paid' | 'free'
  prompt: string
  promptTokens: number
  answerTokens: number
}

/** Configures a plan. */
export interface PlanLoadOptions {
  /** Requests per second over all classes. */
  ratePerS: number
  durationMs: number
  seed: number
}

const meanAnswerTokens = 39.5

/** Returns the mean of a log-uniform number of tokens. */
function meanPromptTokens ({ minTokens, maxTokens }: LoadClass): number {
  return minTokens === maxTokens ? minTokens : (maxTokens - minTokens) / Math.log(maxTokens / minTokens)
}

/**
 * Works out the rate of requests at which the scenario's engines are full: the lower of what all prefill engines and
 * what all decode engines can do, without any saving by cached prefixes.
 *
 * @param scenario the engines and the load
 * @returns requests per second
 *
 * @example
 * ```ts
 * console.log(saturationPerS(await loadScenario('fleuve')))
 * ```
 */
export function estimateSaturationPerS (scenario: Scenario): number {
  const { engine, classes } = scenario
  const promptTokens = classes.reduce((sum, one) => sum + one.share * meanPromptTokens(one), 0)
  const prefillPerS = scenario.prefill * 1000 / (promptTokens * engine.prefillMsPerToken)
  const piecesEach = (promptTokens + meanAnswerTokens) / engine.tokensPerPiece
  const seats = Math.min(engine.seats, engine.pieces / piecesEach)
  const stepMs = engine.stepMs + engine.stepMsPerSeat * seats
  const decodePerS = scenario.decode * seats * 1000 / (stepMs * meanAnswerTokens)
  return Math.min(prefillPerS, decodePerS)
}

function pickClass (classes: LoadClass[], dice: number): LoadClass {
  const total = classes.reduce((sum, one) => sum + one.share, 0)
  let left = dice * total
  for (const one of classes) {
    left -= one.share
    if (left < 0) return one
  }
  const last = classes.at(-1)
  if (last === undefined) throw new Error('a load needs a class of requests')
  return last
}

function makePrompt (one: LoadClass, tokens: number, template: number, id: string): string {
  const head = Array.from({ length: one.templateTokens }, (_, i) => `${one.caller}${template}.${i}`)
  const body = Array.from({ length: Math.max(1, tokens - one.templateTokens) }, (_, i) => `${id}.${i}`)
  return [...head, ...body].join(' ')
}

/**
 * Plans the requests of one run: Poisson arrivals, callers by their shares, prompt sizes log-uniform.
 *
 * @param classes the callers
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
  const dice = (): number => uniformFloat64(generator)
  const planned: PlannedRequest[] = []
  let atMs = 0
  for (;;) {
    atMs += -Math.log(1 - dice()) * 1000 / options.ratePerS
    if (atMs >= options.durationMs) return planned
    const one = pickClass(classes, dice())
    const promptTokens = Math.round(one.minTokens * (one.maxTokens / one.minTokens) ** dice())
    const template = Math.floor(dice() * one.templates)
    const prompt = makePrompt(one, promptTokens, template, `${options.seed}-${planned.length}`)
    planned.push({ atMs, caller: one.caller, tier: one.tier, prompt, promptTokens, answerTokens: one.answerTokens })
  }
}
