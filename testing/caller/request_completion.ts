/**
 * Sends a model request to an entry and reads the streamed answer.
 */
import { request } from 'undici'

/** Configures a model request. */
export interface CompleteOptions {
  /** Address `ip:port` of the entry. */
  address: string
  /** API key of the caller. */
  key: string
  model: string
  prompt: string
  maxTokens: number
  /** Aborts the request, as a caller who goes away does. */
  signal?: AbortSignal
  /** Gets each piece of text as it comes. */
  onText?: (text: string) => void
}

/** Describes what came back. */
export interface Completion {
  /** Status of the answer; 0 when no answer came. */
  status: number
  /** Identifier of the request at the entry. */
  id: string | undefined
  /** The whole text that came. */
  text: string
  /** Number of times the end of the answer came. */
  endCount: number
  finishReason: string | undefined
  /** Code of the refusal, or of the error that broke the stream. */
  code: string | undefined
  /** Outcome that the entry stated. */
  outcome: string | undefined
  /** Error of the connection. */
  connectionError: string | undefined
}

interface Chunk {
  id?: string
  choices?: Array<{ delta?: { content?: string }, finish_reason?: string | null }>
  error?: { code?: string, outcome?: string }
}

function addChunk (result: Completion, chunk: Chunk, onText?: (text: string) => void): void {
  if (chunk.error) {
    result.code = chunk.error.code
    result.outcome = chunk.error.outcome
  }
  result.id ??= chunk.id
  const choice = chunk.choices?.[0]
  const text = choice?.delta?.content ?? ''
  result.text += text
  if (choice?.finish_reason) result.finishReason = choice.finish_reason
  if (text !== '') onText?.(text)
}

function addEvent (result: Completion, event: string, onText?: (text: string) => void): void {
  if (!event.startsWith('data: ')) return
  const data = event.slice('data: '.length)
  if (data === '[DONE]') result.endCount += 1
  else addChunk(result, JSON.parse(data) as Chunk, onText)
}

async function readEvents (body: AsyncIterable<Buffer>, result: Completion, options: CompleteOptions): Promise<void> {
  const decoder = new TextDecoder()
  let text = ''
  for await (const part of body) {
    text += decoder.decode(part, { stream: true })
    const events = text.split('\n\n')
    text = events.pop() ?? ''
    for (const event of events) addEvent(result, event, options.onText)
  }
}

function post (options: CompleteOptions) {
  const { model, prompt, maxTokens } = options
  const messages = [{ role: 'user', content: prompt }]
  return request(`http://${options.address}/v1/chat/completions`, {
    method: 'POST',
    signal: options.signal,
    reset: true,
    headersTimeout: 0,
    bodyTimeout: 0,
    headers: { authorization: `Bearer ${options.key}`, 'content-type': 'application/json' },
    body: JSON.stringify({ model, messages, max_tokens: maxTokens, stream: true })
  })
}

/**
 * Sends one streamed model request; it never throws and never retries.
 *
 * @param options the entry, the caller's key and the request
 * @returns what came back
 *
 * @example
 * ```ts
 * import { complete } from 'briarloom/testing/caller'
 *
 * const done = await complete({ address: '127.0.0.1:9', key: 'k', model: 'm', prompt: 'a', maxTokens: 8 })
 * console.assert(done.status === 0)
 * ```
 */
export async function requestCompletion (options: CompleteOptions): Promise<Completion> {
  const result: Completion = {
    status: 0, id: undefined, text: '', endCount: 0, finishReason: undefined, code: undefined, outcome: undefined, connectionError: undefined
  }
  try {
    const res = await post(options)
    result.status = res.statusCode
    result.outcome = res.headers['x-briarloom-outcome'] as string | undefined
    if (res.statusCode === 200) await readEvents(res.body, result, options)
    else addChunk(result, await res.body.json() as Chunk)
  } catch (err) {
    result.connectionError = String(err)
  }
  return result
}
