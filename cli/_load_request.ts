/**
 * Sends one streamed request and times its answer.
 */
import { createInterface } from 'node:readline'
import { request } from 'undici'
import type { Dispatcher } from 'undici'
import type { Timer } from '../timer/mod.ts'
import type { LoadOptions } from './_load_options.ts'

/** Names how a request ended. */
export enum LoadOutcome {
  Finished = 'finished',
  Refused = 'refused',
  /** The answer broke off, or no answer came. */
  Failed = 'failed'
}

/** Describes how one request went. */
export interface LoadResult {
  outcome: LoadOutcome
  /** Code of the refusal or failure; empty when finished. */
  code: string
  firstTokenMs: number
  /** Gaps between the chunks of the answer, in milliseconds. */
  gapsMs: number[]
}

const dataPrefix = 'data: '
const endOfStream = '[DONE]'

/** Sends one request; every failure is part of the result. */
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
    if (res.statusCode !== 200) return ended(LoadOutcome.Refused, refusalCode(await res.body.text(), res.statusCode))
    return await readStream(res.body, startMs, timer)
  } catch (err) {
    return ended(LoadOutcome.Failed, (err as NodeJS.ErrnoException).code ?? 'error')
  }
}

async function readStream (body: NodeJS.ReadableStream, startMs: number, timer: Timer): Promise<LoadResult> {
  const result = ended(LoadOutcome.Failed, 'broken_off')
  let lastMs = startMs
  for await (const line of createInterface({ input: body, crlfDelay: Infinity })) {
    if (!line.startsWith(dataPrefix)) continue
    const data = line.slice(dataPrefix.length)
    if (data === endOfStream) return { ...result, outcome: LoadOutcome.Finished, code: '' }
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

function ended (end: LoadOutcome, code: string): LoadResult {
  return { outcome: end, code, firstTokenMs: 0, gapsMs: [] }
}
