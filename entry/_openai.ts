/**
 * The OpenAI-style shapes of completion requests and answers.
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

/** A checked completion request. */
export interface CompletionRequest {
  model: string
  /** Version after an `@` in the model name; undefined when none was given. */
  version: string | undefined
  prompt: string
  maxTokens: number
  stream: boolean
}

const defaultMaxTokens = 256
const maxMaxTokens = 32_768

const common = {
  model: z.string().min(1).max(200),
  max_tokens: z.number().int().min(1).max(maxMaxTokens).optional(),
  max_completion_tokens: z.number().int().min(1).max(maxMaxTokens).optional(),
  stream: z.boolean().optional()
}

const part = z.object({ type: z.literal('text'), text: z.string() })
const message = z.object({ role: z.string(), content: z.union([z.string(), z.array(part)]) })
const chatSchema = z.object({ ...common, messages: z.array(message).min(1) })
const textSchema = z.object({ ...common, prompt: z.string().min(1) })

function contentText (content: string | Array<{ text: string }>): string {
  return typeof content === 'string' ? content : content.map((item) => item.text).join('')
}

const parsers: { [K in CompletionKind]: (body: unknown) => CompletionRequest } = {
  [CompletionKind.Chat]: (body) => {
    const parsed = chatSchema.parse(body)
    return toRequest(parsed, parsed.messages.map((item) => contentText(item.content)).join('\n'))
  },
  [CompletionKind.Text]: (body) => {
    const parsed = textSchema.parse(body)
    return toRequest(parsed, parsed.prompt)
  }
}

interface Common {
  model: string
  max_tokens?: number
  max_completion_tokens?: number
  stream?: boolean
}

function toRequest (parsed: Common, prompt: string): CompletionRequest {
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
 * Checks the body of a completion request.
 *
 * @returns the request, or a refusal with status 400 that names the field at fault
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

/** Builds the bodies of one answer. */
export interface ResponseFormat {
  buildChunk (text: string, finish: string | null): Record<string, unknown>
  buildWhole (text: string, finish: string, promptTokens: number, tokens: number): Record<string, unknown>
}

interface ShapeParts {
  chunkObject: string
  wholeObject: string
  chunkChoice (text: string): Record<string, unknown>
  wholeChoice (text: string): Record<string, unknown>
}

const shapeParts: { [K in CompletionKind]: ShapeParts } = {
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
 * Creates the shape of one answer.
 */
export function createResponseFormat (kind: CompletionKind, requestId: string, model: string, createdS: number): ResponseFormat {
  const parts = shapeParts[kind]
  const head = { id: requestId, created: createdS, model }
  return {
    buildChunk: (text, finish) => ({
      ...head,
      object: parts.chunkObject,
      choices: [{ index: 0, ...parts.chunkChoice(text), finish_reason: finish }]
    }),
    buildWhole: (text, finish, promptTokens, tokens) => ({
      ...head,
      object: parts.wholeObject,
      choices: [{ index: 0, ...parts.wholeChoice(text), finish_reason: finish }],
      usage: { prompt_tokens: promptTokens, completion_tokens: tokens, total_tokens: promptTokens + tokens }
    })
  }
}
