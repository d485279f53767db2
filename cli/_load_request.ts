/**
 * Sends one streamed request and measures the latency of its response.
 */
import { createInterface } from 'node:readline'
import { request } from 'undici'
import type { Dispatcher } from 'undici'
import type { Timer } from '../timer/mod.ts'
import type { LoadOptions } from './_load_options.ts'

/** Names the outcomes of a request. */
export enum LoadOutcome {
  Finished = 'finished',
  /** The response had a status other than 200. */
  Refused = 'refused',
  /** The response broke off, or none arrived. */
  Failed = 'failed'
}

/** Describes the outcome and the latency of one request. */
export interface LoadResult {
  outcome: LoadOutcome
  /** Code of the refusal or failure; empty when finished. */
  code: string
  /** Time from the start of the request to the first token, in milliseconds; 0 when none arrived. */
  firstTokenMs: number
  /** Gaps between the chunks of the response that carry text, in milliseconds. */
  gapsMs: number[]
}

const eventDataPrefix = 'data: '
const endOfStreamData = '[DONE]'

/** Sends one request and reads its response; a failure is part of the result and is never thrown. */
export async function sendRequest (
  prompt: string, options: LoadOptions, dispatcher: Dispatcher, timer: Timer
): Promise<LoadResult> {
  const startMs = timer.now()
  try {
    const res = await request(new URL('/v1/chat/completions', options.url), {
      method: 'POST',
      dispatcher,
      headers: { authorization: `Bearer ${options.key}`, 'content-type': 'application/json' },
      body: JSON.stringify({
        model: options.model, stream: true, max_tokens: options.maxTokens, messages: [{ role: 'user', content: prompt }]
      })
    })
    if (res.statusCode !== 200) return createResult(LoadOutcome.Refused, refusalCode(await res.body.text(), res.statusCode))
    return await readEventStream(res.body, startMs, timer)
  } catch (err) {
    return createResult(LoadOutcome.Failed, (err as NodeJS.ErrnoException).code ?? 'error')
  }
}

async function readEventStream (body: NodeJS.ReadableStream, startMs: number, timer: Timer): Promise<LoadResult> {
  const result = createResult(LoadOutcome.Failed, 'broken_off')
  let lastMs = startMs
  for await (const line of createInterface({ input: body, crlfDelay: Infinity })) {
    if (!line.startsWith(eventDataPrefix)) continue
    const data = line.slice(eventDataPrefix.length)
    if (data === endOfStreamData) return { ...result, outcome: LoadOutcome.Finished, code: '' }
    const event = JSON.parse(data) as StreamEvent
    if (event.error) return { ...result, code: event.error.code ?? 'error' }
    if (!hasText(event)) continue
    const nowMs = timer.now()
    if (result.firstTokenMs === 0) result.firstTokenMs = nowMs - startMs
    else result.gapsMs.push(nowMs - lastMs)
    lastMs = nowMs
  }
  return result
}

interface StreamEvent {
  error?: { code?: string }
  choices?: Array<{ delta?: { content?: string }, text?: string }>
}

function hasText (event: StreamEvent): boolean {
  const [choice] = event.choices ?? []
  return (choice?.delta?.content ?? choice?.text ?? '') !== ''
}

function refusalCode (body: string, status: number): string {
  try {
    return (JSON.parse(body) as StreamEvent).error?.code ?? `http_${status}`
  } catch {
    return `http_${status}`
  }
}

function createResult (outcome: LoadOutcome, code: string): LoadResult {
  return { outcome, code, firstTokenMs: 0, gapsMs: [] }
}
