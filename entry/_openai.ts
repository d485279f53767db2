/**
 * Parses completion requests and builds responses in the format of the OpenAI API.
 */
import { z } from 'zod'
import { Err, Ok } from '../core/results/mod.ts'
import { createClientError } from './_refusals.ts'
import type { Result } from '../core/results/mod.ts'
import type { HttpRefusal } from './_refusals.ts'

/** Names the two completion endpoints. */
export enum CompletionKind {
  Chat = 'chat',
  Text = 'text'
}

/** A completion request that passed validation. */
export interface CompletionRequest {
  model: string
  /** Version after an `@` in the model name; undefined when none was given. */
  version: string | undefined
  prompt: string
  maxTokens: number
  stream: boolean
}

/** Tokens that are generated at most when the request names no limit. */
const defaultMaxTokens = 256
/** Largest limit on generated tokens that a request may name. */
const maxTokensLimit = 32_768

const commonFields = {
  model: z.string().min(1).max(200),
  max_tokens: z.number().int().min(1).max(maxTokensLimit).optional(),
  max_completion_tokens: z.number().int().min(1).max(maxTokensLimit).optional(),
  stream: z.boolean().optional()
}

const textPart = z.object({ type: z.literal('text'), text: z.string() })
const chatMessage = z.object({ role: z.string(), content: z.union([z.string(), z.array(textPart)]) })
const chatSchema = z.object({ ...commonFields, messages: z.array(chatMessage).min(1) })
const textSchema = z.object({ ...commonFields, prompt: z.string().min(1) })

function joinContentText (content: string | Array<{ text: string }>): string {
  return typeof content === 'string' ? content : content.map((item) => item.text).join('')
}

const parsers: { [K in CompletionKind]: (body: unknown) => CompletionRequest } = {
  [CompletionKind.Chat]: (body) => {
    const parsed = chatSchema.parse(body)
    return toCompletionRequest(parsed, parsed.messages.map((item) => joinContentText(item.content)).join('\n'))
  },
  [CompletionKind.Text]: (body) => {
    const parsed = textSchema.parse(body)
    return toCompletionRequest(parsed, parsed.prompt)
  }
}

interface CommonFields {
  model: string
  max_tokens?: number
  max_completion_tokens?: number
  stream?: boolean
}

function toCompletionRequest (parsed: CommonFields, prompt: string): CompletionRequest {
  const [model = '', version] = parsed.model.split('@', 2)
  const maxTokens = parsed.max_completion_tokens ?? parsed.max_tokens ?? defaultMaxTokens
  return { model, version, prompt, maxTokens, stream: parsed.stream ?? false }
}

function parseJson (body: Buffer): Result<unknown, HttpRefusal> {
  try {
    return Ok(JSON.parse(body.toString('utf8')))
  } catch (err) {
    return Err(createClientError(400, 'invalid_json', `body is not JSON: ${(err as Error).message}`))
  }
}

/**
 * Parses and validates the body of a completion request.
 *
 * @returns the request, or a refusal with status 400 that names the invalid field
 */
export function parseCompletion (kind: CompletionKind, body: Buffer): Result<CompletionRequest, HttpRefusal> {
  const json = parseJson(body)
  if (json.err) return json
  try {
    const parsed = parsers[kind](json.val)
    if (/\S/.test(parsed.prompt)) return Ok(parsed)
    return Err(createClientError(400, 'invalid_request', 'prompt is empty', kind === CompletionKind.Chat ? 'messages' : 'prompt'))
  } catch (err) {
    if (!(err instanceof z.ZodError)) throw err
    const issue = err.issues[0]
    const field = issue?.path.join('.') || 'body'
    return Err(createClientError(400, 'invalid_request', `field "${field}": ${issue?.message ?? 'invalid'}`, field))
  }
}

/** Builds the bodies of one response. */
export interface ResponseFormat {
  /** Returns the body of one server-sent event; `finishReason` is null in all but the last one. */
  buildChunk (text: string, finishReason: string | null): Record<string, unknown>
  /** Returns the body of a response that is not streamed, with its token counts. */
  buildWhole (text: string, finishReason: string, promptTokens: number, tokens: number): Record<string, unknown>
}

interface FormatParts {
  chunkObject: string
  wholeObject: string
  chunkChoice (text: string): Record<string, unknown>
  wholeChoice (text: string): Record<string, unknown>
}

const formatParts: { [K in CompletionKind]: FormatParts } = {
  [CompletionKind.Chat]: {
    chunkObject: 'chat.completion.chunk',
    wholeObject: 'chat.completion',
    chunkChoice: (text) => ({ delta: text === '' ? {} : { role: 'assistant', content: text } }),
    wholeChoice: (text) => ({ message: { role: 'assistant', content: text } })
  },
  [CompletionKind.Text]: {
    chunkObject: 'text_completion',
    wholeObject: 'text_completion',
    chunkChoice: (text) => ({ text }),
    wholeChoice: (text) => ({ text })
  }
}

/**
 * Creates the builder of one response's bodies; `createdS` is the creation time in Unix seconds.
 */
export function createResponseFormat (kind: CompletionKind, requestId: string, model: string, createdS: number): ResponseFormat {
  const parts = formatParts[kind]
  const head = { id: requestId, created: createdS, model }
  return {
    buildChunk: (text, finishReason) => ({
      ...head,
      object: parts.chunkObject,
      choices: [{ index: 0, ...parts.chunkChoice(text), finish_reason: finishReason }]
    }),
    buildWhole: (text, finishReason, promptTokens, tokens) => ({
      ...head,
      object: parts.wholeObject,
      choices: [{ index: 0, ...parts.wholeChoice(text), finish_reason: finishReason }],
      usage: { prompt_tokens: promptTokens, completion_tokens: tokens, total_tokens: promptTokens + tokens }
    })
  }
}
