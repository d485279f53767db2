/**
 * Sends a planned load and measures each answer.
 */
import { setMaxListeners } from 'node:events'
import { requestCompletion } from '../testing/caller/mod.ts'
import { computeExpectedAnswer } from '../testing/engine/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { PlannedRequest } from './plan_load.ts'

/** Describes one answer. */
export interface MeasuredRequest {
  atMs: number
  caller: string
  tier: 'paid' | 'free'
  promptTokens: number
  id: string | undefined
  status: number
  code: string | undefined
  outcome: string | undefined
  /** True when the whole answer that belongs to the prompt came once. */
  isExact: boolean
  /** Time in milliseconds to the first token. */
  firstMs: number | undefined
  /** Mean time in milliseconds between two tokens. */
  betweenMs: number | undefined
  /** Time in milliseconds at which the answer ended, counted as `atMs` is. */
  endMs: number
}

/** Configures the sending. */
export interface SendLoadOptions {
  timer: Timer
  /** Addresses `ip:port` of the entries; requests take turns. */
  addresses: string[]
  model: string
  /** API key by caller. */
  keys: Map<string, string>
  /** Time in milliseconds after the last arrival at which unfinished requests are given up. */
  drainMs: number
}

function countTokens (text: string): number {
  return text.split(' ').length - 1
}

async function sendOne (planned: PlannedRequest, address: string, options: SendLoadOptions, signal: AbortSignal,
  startMs: number): Promise<MeasuredRequest> {
  const { timer, model } = options
  const sentMs = timer.now()
  let firstAtMs: number | undefined
  let lastAtMs = 0
  let tokens = 0
  let firstTokens = 0
  const done = await requestCompletion({
    address,
    key: options.keys.get(planned.caller) ?? '',
    model,
    prompt: planned.prompt,
    maxTokens: planned.answerTokens,
    signal,
    onText: (text) => {
      lastAtMs = timer.now()
      tokens += countTokens(text)
      if (firstAtMs !== undefined) return
      firstAtMs = lastAtMs
      firstTokens = tokens
    }
  })
  const whole = computeExpectedAnswer(planned.prompt, planned.answerTokens).tokens.join('')
  const { id, status, code, outcome } = done
  const { atMs, caller, tier, promptTokens } = planned
  const later = tokens - firstTokens
  return {
    atMs,
    caller,
    tier,
    promptTokens,
    id,
    status,
    code: code ?? (done.connectionError === undefined ? undefined : 'connection'),
    outcome,
    isExact: done.endCount === 1 && done.text === whole,
    firstMs: firstAtMs === undefined ? undefined : firstAtMs - sentMs,
    betweenMs: firstAtMs === undefined || later === 0 ? undefined : (lastAtMs - firstAtMs) / later,
    endMs: timer.now() - startMs
  }
}

/**
 * Sends requests at their planned times, whether or not earlier ones were answered, and waits for the answers.
 *
 * @param plan the requests, ordered by time
 * @param options where they go and when unfinished ones are given up
 * @returns what came back, in the order of the plan
 *
 * @example
 * ```ts
 * console.assert(typeof sendLoad === 'function')
 * ```
 */
export async function sendLoad (plan: PlannedRequest[], options: SendLoadOptions): Promise<MeasuredRequest[]> {
  const { timer, addresses } = options
  const startMs = timer.now()
  const abort = new AbortController()
  setMaxListeners(0, abort.signal)
  const lastMs = plan.at(-1)?.atMs ?? 0
  const giveUp = timer.after(lastMs + options.drainMs, () => abort.abort())
  const sent = plan.map((planned, i) => new Promise<MeasuredRequest>((resolve) => {
    timer.after(planned.atMs, () => {
      resolve(sendOne(planned, addresses[i % addresses.length] ?? '', options, abort.signal, startMs))
    })
  }))
  const measured = await Promise.all(sent)
  giveUp.cancel()
  return measured
}
