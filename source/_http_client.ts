/**
 * Reads JSON over HTTP with limits on time and size.
 */
import { Agent, request } from 'undici'
import type { Dispatcher } from 'undici'
import type { ZodType } from 'zod'
import { Err, Ok } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'
import type { PlatformError } from './_types.ts'

/** Reads JSON values from one origin. */
export interface JsonReader {
  /**
   * Reads `path` and checks the body against a schema. Waits at most `timeoutMs` milliseconds for the headers of the response,
   * and as long again between parts of its body.
   */
  read<T> (path: string, schema: ZodType<T>, timeoutMs: number): Promise<Result<T, PlatformError>>
  close (): Promise<void>
}

/** Largest body accepted. */
const maxBodyBytes = 64 * 1_048_576
const connectTimeoutMs = 1_000
const tooManyRequestsStatus = 429

/**
 * Creates a reader of one origin.
 *
 * @param url the origin, such as `http://127.0.0.1:8500`
 * @returns the reader; it returns every failure as an error value
 *
 * @example
 * ```ts
 * const reader = createJsonReader('http://127.0.0.1:8500')
 * await reader.close()
 * ```
 */
export function createJsonReader (url: string): JsonReader {
  const origin = url.replace(/\/+$/, '')
  const dispatcher = new Agent({ connect: { timeout: connectTimeoutMs } })

  async function read<T> (path: string, schema: ZodType<T>, timeoutMs: number): Promise<Result<T, PlatformError>> {
    try {
      const options = { dispatcher, headersTimeout: timeoutMs, bodyTimeout: timeoutMs }
      const res = await request(origin + path, options)
      if (res.statusCode !== 200) {
        await res.body.dump()
        return createError(`GET ${origin}${path}: expected status 200, got ${res.statusCode}`, res.statusCode === tooManyRequestsStatus)
      }
      const parsed = schema.safeParse(JSON.parse(await readText(res.body)))
      if (parsed.success) return Ok(parsed.data)
      const issue = parsed.error.issues[0]
      return createError(`GET ${origin}${path}: field "${issue?.path.join('.') ?? ''}": ${issue?.message ?? 'invalid'}`)
    } catch (err) {
      return createError(`GET ${origin}${path}: ${err instanceof Error ? err.message : String(err)}`)
    }
  }

  return { read, close: () => dispatcher.destroy() }
}

async function readText (body: Dispatcher.ResponseData['body']): Promise<string> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of body) {
    bytes += (chunk as Buffer).length
    if (bytes > maxBodyBytes) throw new Error(`response body is longer than ${maxBodyBytes} bytes`)
    chunks.push(chunk as Buffer)
  }
  return Buffer.concat(chunks).toString('utf8')
}

function createError<T> (message: string, limited = false): Result<T, PlatformError> {
  return Err({ message, limited })
}
