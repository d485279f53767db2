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
  /** Time in milliseconds that a read may take beyond the time that it was asked to wait; 5000 by default. */
  timeoutMs?: number
}

const defaultTimeoutMs = 5_000

const page = z.object({
  revision: z.number().int().nonnegative(),
  changes: z.array(z.object({
    key: z.string(),
    revision: z.number().int().nonnegative(),
    value: z.string().nullable()
  }))
})

/**
 * Creates an adapter for a configuration service that speaks HTTP.
 *
 * @param options the origin of the service and the timeout in milliseconds
 * @returns the adapter; a failed read is a value that says whether the service refused for its limit
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
    readAll: () => reader.read('/v1/records', page, timeoutMs),
    watch: (afterRevision, waitMs) =>
      reader.read(`/v1/watch?after=${afterRevision}&wait_ms=${waitMs}`, page, waitMs + timeoutMs),
    close: () => reader.close()
  }
}
