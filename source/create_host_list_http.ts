/**
 * Reads the list of hosts over HTTP.
 */
import { z } from 'zod'
import { createJsonReader } from './_http_client.ts'
import { HostState } from './_types.ts'
import type { HostList } from './_types.ts'

/** Configures the HTTP adapter of a host list. */
export interface HostListHttpOptions {
  /** Origin of the service, such as `http://127.0.0.1:8501`. */
  url: string
  /** Time in milliseconds that a read may take; 5000 by default. */
  timeoutMs?: number
}

const defaultTimeoutMs = 5_000

const hostSchema = z.object({
  name: z.string().min(1),
  kind: z.enum(['entry', 'agent']),
  address: z.string().min(1),
  availability_zone: z.string().min(1),
  region: z.string().min(1),
  state: z.enum(HostState)
}).transform(({ availability_zone: availabilityZone, ...fields }) => ({ ...fields, availabilityZone }))

const hostListSchema = z.object({ hosts: z.array(hostSchema) })

/**
 * Creates an adapter for a host list with an HTTP interface.
 *
 * @param options the origin of the service and the timeout in milliseconds
 * @returns the adapter; it returns a failed read as an error value
 *
 * @example
 * ```ts
 * import { createHostListHttp } from 'briarloom/source'
 *
 * const hosts = createHostListHttp({ url: 'http://127.0.0.1:8501' })
 * const result = await hosts.read()
 * console.log(result.ok ? result.val.length : result.val.message)
 * await hosts.close()
 * ```
 */
export function createHostListHttp (options: HostListHttpOptions): HostList {
  const timeoutMs = options.timeoutMs ?? defaultTimeoutMs
  const reader = createJsonReader(options.url)
  return {
    read: async () => (await reader.read('/v1/hosts', hostListSchema, timeoutMs)).map((value) => value.hosts),
    close: () => reader.close()
  }
}
