/**
 * Sends a planned load and measures each answer.
 */
import { setMaxListeners } from 'node:events'
import { requestCompletion } from '../testing/caller/mod.ts'
import { computeExpectedAnswer } from '../testing/engine/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { PlannedRequest } from './plan_load.ts'

/** A sent request and the measurements of its answer. */
export interface MeasuredRequest {
  /** Planned time of sending in milliseconds from the start of the run. */
  atMs: number
  caller: string
  tier: 'paid' | 'free'
  promptTokens: number
  id: string | undefined
  status: number
  /** Error code; `connection` when the connection failed or the request was aborted. */
  code: string | undefined
  outcome: string | undefined
  /** True when the answer is complete, ended once and is the one that the prompt yields. */
  isExact: boolean
  /** Time in milliseconds from sending to the first token. */
  firstMs: number | undefined
  /** Mean time in milliseconds between two tokens after the first batch. */
  betweenMs: number | undefined
  /** Time in milliseconds from the start of the run to the end of the answer. */
  endMs: number
}

/** Configures how a load is sent. */
export interface SendLoadOptions {
  timer: Timer
  /** Addresses `ip:port` of the entries; requests go to them in rotation. */
  addresses: string[]
  model: string
  /** API key by caller. */
  keys: Map<string, string>
  /** Time in milliseconds after the last arrival after which unfinished requests are aborted. */
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
  const completion = await requestCompletion({
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
  const expectedText = computeExpectedAnswer(planned.prompt, planned.answerTokens).tokens.join('')
  const { id, status, code, outcome } = completion
  const { atMs, caller, tier, promptTokens } = planned
  const laterTokens = tokens - firstTokens
  return {
    atMs,
    caller,
    tier,
    promptTokens,
    id,
    status,
    code: code ?? (completion.connectionError === undefined ? undefined : 'connection'),
    outcome,
    isExact: completion.endCount === 1 && completion.text === expectedText,
    firstMs: firstAtMs === undefined ? undefined : firstAtMs - sentMs,
    betweenMs: firstAtMs === undefined || laterTokens === 0 ? undefined : (lastAtMs - firstAtMs) / laterTokens,
    endMs: timer.now() - startMs
  }
}

/**
 * Sends requests at their planned times, without waiting for earlier answers, and waits until all have ended.
 *
 * @param plan the requests, ordered by time
 * @param options the entries, the keys, and when unfinished requests are aborted
 * @returns the measured requests, in the order of the plan
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
  const abortTimeout = timer.after(lastMs + options.drainMs, () => abort.abort())
  const sent = plan.map((planned, i) => new Promise<MeasuredRequest>((resolve) => {
    timer.after(planned.atMs, () => {
      resolve(sendOne(planned, addresses[i % addresses.length] ?? '', options, abort.signal, startMs))
    })
  }))
  const measured = await Promise.all(sent)
  abortTimeout.cancel()
  return measured
}
