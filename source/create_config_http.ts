/**
 * Reads a configuration service over HTTP.
 */
import { z } from 'zod'
import { createJsonReader } from './_http_client.ts'
import type { ConfigService } from './_types.ts'

/** Configures the HTTP adapter of a configuration service. */
export interface ConfigHttpOptions {
  /** Origin of the service, such as `http://127.0.0.1:8500`. */
  url: string
  /** Time in milliseconds that a read may take in addition to the time that a watch waits for changes; 5000 by default. */
  timeoutMs?: number
}

const defaultTimeoutMs = 5_000

const pageSchema = z.object({
  revision: z.number().int().nonnegative(),
  changes: z.array(z.object({
    key: z.string(),
    revision: z.number().int().nonnegative(),
    value: z.string().nullable()
  }))
})

/**
 * Creates an adapter for a configuration service with an HTTP interface.
 *
 * @param options the origin of the service and the timeout in milliseconds
 * @returns the adapter; it returns a failed read as an error value, with `limited` set when the service refused it for its rate limit
 *
 * @example
 * ```ts
 * import { createConfigHttp } from 'briarloom/source'
 *
 * const service = createConfigHttp({ url: 'http://127.0.0.1:8500' })
 * const page = await service.readAll()
 * console.log(page.ok ? page.val.revision : page.val.message)
 * await service.close()
 * ```
 */
export function createConfigHttp (options: ConfigHttpOptions): ConfigService {
  const timeoutMs = options.timeoutMs ?? defaultTimeoutMs
  const reader = createJsonReader(options.url)
  return {
    readAll: () => reader.read('/v1/records', pageSchema, timeoutMs),
    watch: (afterRevision, waitMs) =>
      reader.read(`/v1/watch?after=${afterRevision}&wait_ms=${waitMs}`, pageSchema, waitMs + timeoutMs),
    close: () => reader.close()
  }
}
