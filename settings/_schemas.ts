/**
 * Schemas of settings files.
 */
import { z } from 'zod'

const maxPort = 65535
const pskKeyPattern = /^(?:[0-9a-f]{2}){16,64}$/i

const name = z.string().min(1).max(200)
const port = z.int().min(0).max(maxPort)
const ipAddress = z.union([z.ipv4(), z.ipv6()], { error: 'an IP number' })
const peerAddress = z.string().regex(/^(?:\[[0-9a-f:.]+\]|[^\s:[\]]+):\d{1,5}$/i, { error: 'an address of the form ip:port' })
const httpUrl = z.url({ protocol: /^https?$/, error: 'an http or https URL' })
const positiveCount = z.int().min(1)
const durationMs = z.int().min(1).max(3_600_000)

const endpoint = z.strictObject({ host: ipAddress, port })

const platform = z.strictObject({
  config: z.strictObject({ adapter: z.literal('config_http'), url: httpUrl }),
  hosts: z.strictObject({ adapter: z.literal('hosts_http'), url: httpUrl })
})

const psk = z.strictObject({
  identity: name,
  keyHex: z.string().regex(pskKeyPattern, { error: '16 to 64 bytes as hexadecimal digits' })
})

const log = z.strictObject({ level: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'fatal']) })

const metrics = z.strictObject({ host: z.string().min(1), port, prefix: z.string().max(100) })

const limits = z.strictObject({
  maxBodyBytes: positiveCount.default(4 * 1024 * 1024),
  maxHeaderBytes: positiveCount.default(16 * 1024),
  maxFrameBytes: positiveCount.default(8 * 1024 * 1024),
  maxRequests: positiveCount.default(10_000)
})

const timings = z.strictObject({
  leaseMs: durationMs.default(2000),
  heartbeatMs: durationMs.default(500),
  graceMs: durationMs.default(30_000)
})

/** Fields that the settings of every process have. */
const commonFields = {
  name,
  availabilityZone: name,
  region: name,
  peer: endpoint,
  platform,
  psk: psk.optional(),
  log: log.default({ level: 'info' }),
  metrics: metrics.optional(),
  limits: limits.prefault({}),
  timings: timings.prefault({})
}

/** Schema of the settings of an entry. */
export const entrySchema = z.strictObject({ process: z.literal('entry'), ...commonFields, http: endpoint })

/** Schema of the settings of an agent. */
export const agentSchema = z.strictObject({
  process: z.literal('agent'),
  ...commonFields,
  backend: z.discriminatedUnion('kind', [
    z.strictObject({ kind: z.literal('engine'), adapter: z.literal('engine_http'), address: peerAddress }),
    z.strictObject({ kind: z.literal('service'), adapter: z.literal('service_http'), address: peerAddress })
  ]),
  engine: z.strictObject({ fencing: z.boolean() }).optional()
})

/** Settings of an entry. */
export type EntrySettings = z.output<typeof entrySchema>

/** Settings of an agent. */
export type AgentSettings = z.output<typeof agentSchema>

/** Settings of a process; the field `process` tells which kind it is. */
export type Settings = EntrySettings | AgentSettings
