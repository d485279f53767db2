/**
 * Reads JSON over HTTP with bounds on time and size.
 */
import { Agent, request } from 'undici'
import type { Dispatcher } from 'undici'
import type { ZodType } from 'zod'
import { Err, Ok } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'
import type { PlatformError } from './_types.ts'

/** Reads JSON values from one origin. */
export interface JsonReader {
  /** Reads `path` and checks the body; waits at most `timeoutMs` milliseconds for the answer to begin. */
  read<T> (path: string, schema: ZodType<T>, timeoutMs: number): Promise<Result<T, PlatformError>>
  close (): Promise<void>
}

const maxBodyBytes = 64 * 1_048_576
const connectTimeoutMs = 1_000
const statusTooMany = 429

/**
 * Creates a reader of one origin.
 *
 * @param url the origin, such as `http://127.0.0.1:8500`
 * @returns the reader; every failure is a value
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
        return fail(`GET ${origin}${path}: expected status 200, got ${res.statusCode}`, res.statusCode === statusTooMany)
      }
      const parsed = schema.safeParse(JSON.parse(await readText(res.body)))
      if (parsed.success) return Ok(parsed.data)
      const issue = parsed.error.issues[0]
      return fail(`GET ${origin}${path}: field "${issue?.path.join('.') ?? ''}": ${issue?.message ?? 'invalid'}`)
    } catch (err) {
      return fail(`GET ${origin}${path}: ${err instanceof Error ? err.message : String(err)}`)
    }
  }

  return { read, close: () => dispatcher.destroy() }
}

async function readText (body: Dispatcher.ResponseData['body']): Promise<string> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of body) {
    bytes += (chunk as Buffer).length
    if (bytes > maxBodyBytes) throw new Error(`body is longer than ${maxBodyBytes} bytes`)
    chunks.push(chunk as Buffer)
  }
  return Buffer.concat(chunks).toString('utf8')
}

function fail<T> (message: string, limited = false): Result<T, PlatformError> {
  return Err({ message, limited })
}
