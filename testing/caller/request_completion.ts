/**
 * Sends a model request to an entry and reads the streamed response.
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
  /** Aborts the request, as a caller that disconnects does. */
  signal?: AbortSignal
  /** Receives each piece of text as it arrives. */
  onText?: (text: string) => void
}

/** Describes the response to a model request, or how it failed. */
export interface Completion {
  /** Status of the response; 0 when there was none. */
  status: number
  /** Identifier that the entry gave to the request. */
  id: string | undefined
  /** The received text. */
  text: string
  /** Number of end markers, `[DONE]`, in the stream; 1 for a complete response. */
  endCount: number
  /** Reason why the model stopped: `stop` or `length`. */
  finishReason: string | undefined
  /** Code of the refusal, or of the error that ended the stream. */
  code: string | undefined
  /** Outcome that the entry stated in the header `x-briarloom-outcome` or in an error. */
  outcome: string | undefined
  /** Text of the error when the connection failed. */
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
  let buffered = ''
  for await (const part of body) {
    buffered += decoder.decode(part, { stream: true })
    const events = buffered.split('\n\n')
    buffered = events.pop() ?? ''
    for (const event of events) addEvent(result, event, options.onText)
  }
}

function sendRequest (options: CompleteOptions) {
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
 * Sends one streamed model request. It never throws and never retries.
 *
 * @param options the entry, the caller's key and the request
 * @returns the response, or how the request failed
 *
 * @example
 * ```ts
 * import { requestCompletion } from 'briarloom/testing/caller'
 *
 * const done = await requestCompletion({ address: '127.0.0.1:9', key: 'k', model: 'm', prompt: 'a', maxTokens: 8 })
 * console.assert(done.status === 0)
 * ```
 */
export async function requestCompletion (options: CompleteOptions): Promise<Completion> {
  const result: Completion = {
    status: 0, id: undefined, text: '', endCount: 0, finishReason: undefined, code: undefined, outcome: undefined, connectionError: undefined
  }
  try {
    const res = await sendRequest(options)
    result.status = res.statusCode
    result.outcome = res.headers['x-briarloom-outcome'] as string | undefined
    if (res.statusCode === 200) await readEvents(res.body, result, options)
    else addChunk(result, await res.body.json() as Chunk)
  } catch (err) {
    result.connectionError = String(err)
  }
  return result
}
