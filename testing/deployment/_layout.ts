/**
 * Plans a deployment: names, zones, ports, records and settings of its processes.
 */
import { createHash } from 'node:crypto'
import type { EngineOptions } from '../engine/mod.ts'
import type { ServiceOptions } from '../service/mod.ts'
import { firmLayouts } from './_firms.ts'
import type { Firm, FirmLayout, Zone } from './_firms.ts'
import { findFreePort } from '../ports/mod.ts'

/** Options of a deployment; numbers of hosts that are left out come from the layout of the firm. */
export interface DeploymentOptions {
  firm: Firm
  /** Number of entries; 2 by default. */
  entries?: number
  /** Number of engines that start as prefill. */
  prefill?: number
  /** Number of engines that start as decode. */
  decode?: number
  /** Number of plain service hosts. */
  services?: number
  /** Names of the availability zones in use; all zones of the firm by default. */
  zones?: string[]
  /** Options of every engine stand-in. */
  engine?: Partial<EngineOptions>
  /** Options of every plain service stand-in. */
  service?: Partial<ServiceOptions>
  /** Field `timings` in the settings of entries and agents, in milliseconds. */
  timings?: { leaseMs?: number, heartbeatMs?: number, graceMs?: number }
  /** Fields merged into the record `policy/default`. */
  policy?: Record<string, unknown>
  /** Time in milliseconds after which the host list shows a change; 500 by default. */
  hostLagMs?: number
  /** Timeout of a call to the plain service in milliseconds; 2000 by default. */
  serviceTimeoutMs?: number
  /** Fields merged into the settings of every entry and agent. */
  settings?: Record<string, unknown>
  /** Arguments of Node.js for every entry, such as the limit on its heap. */
  entryArguments?: string[]
}

/** Host of an entry, or of the agent beside a backend server. */
export interface Host extends Zone {
  name: string
  /** Port for the protocol between processes. */
  peerPort: number
  /** Port for callers; 0 for agents. */
  httpPort: number
}

/** Host of a backend server and its agent. */
export interface Backend extends Host {
  role: 'prefill' | 'decode' | 'service'
  /** Name of the model or plain service. */
  serves: string
  /** Port of the backend server's HTTP interface. */
  backendPort: number
}

/** Every host of a deployment. */
export interface Layout {
  firm: FirmLayout
  entries: Host[]
  backends: Backend[]
}

/** Decode engines begin at the second zone, so that the first one is in another zone than the first prefill engine. */
const decodeZoneOffset = 1

function pickZone (zones: Zone[], index: number): Zone {
  const zone = zones[index % zones.length]
  if (!zone) throw new Error('the deployment has no availability zone: `zones` names no zone of the firm')
  return zone
}

/** Moves the first zone of each region to the front, so that the first hosts cover every region. */
function orderByRegion (zones: Zone[]): Zone[] {
  const seen = new Set<string>()
  const first = zones.filter((zone) => !seen.has(zone.region) && seen.add(zone.region))
  return [...first, ...zones.filter((zone) => !first.includes(zone))]
}

async function createBackends (options: DeploymentOptions, firm: FirmLayout, zones: Zone[]): Promise<Backend[]> {
  const groups = [
    { role: 'prefill' as const, count: options.prefill ?? firm.prefill, zones: orderByRegion(zones), zoneOffset: 0 },
    { role: 'decode' as const, count: options.decode ?? firm.decode, zones, zoneOffset: decodeZoneOffset },
    { role: 'service' as const, count: options.services ?? firm.services, zones, zoneOffset: 0 }
  ]
  const backends: Backend[] = []
  for (const group of groups) {
    const serves = group.role === 'service' ? firm.service : firm.model
    for (let i = 0; i < group.count; i++) {
      const number = backends.filter((backend) => backend.serves === serves).length + 1
      backends.push({
        name: `${serves}-${number}`,
        ...pickZone(group.zones, i + group.zoneOffset),
        role: group.role,
        serves,
        peerPort: await findFreePort(),
        httpPort: 0,
        backendPort: await findFreePort()
      })
    }
  }
  return backends
}

/** Plans the hosts of a deployment and finds free ports for them. */
export async function createLayout (options: DeploymentOptions): Promise<Layout> {
  const firm = firmLayouts[options.firm]
  const zones = firm.zones.filter((zone) => options.zones?.includes(zone.availabilityZone) ?? true)
  const entries: Host[] = []
  for (let i = 0; i < (options.entries ?? 2); i++) {
    entries.push({
      name: `entry-${i + 1}`, ...pickZone(zones, i), peerPort: await findFreePort(), httpPort: await findFreePort()
    })
  }
  return { firm, entries, backends: await createBackends(options, firm, zones) }
}

function buildTier (firm: FirmLayout, tierClass: string): object {
  return {
    schema: 1,
    tierClass,
    models: [{ model: firm.model, version: '*' }],
    firstTokenMs: 5000,
    betweenTokensMs: 100
  }
}

function buildCaller (tierName: string, key: string): object {
  const keyHash = createHash('sha256').update(key).digest('hex')
  return { schema: 1, tier: tierName, keyHash, requestsPerS: 1000, tokensPerS: 1_000_000, concurrency: 1000 }
}

function buildBackendRecord (backend: Backend, options: DeploymentOptions, version: string): object {
  return {
    schema: 1,
    address: `127.0.0.1:${backend.backendPort}`,
    agent: `127.0.0.1:${backend.peerPort}`,
    adapter: backend.role === 'service' ? 'service_http' : 'engine_http',
    role: backend.role,
    serves: backend.serves,
    version: backend.role === 'service' ? '' : version,
    fencing: options.engine?.fencing ?? true,
    weight: 1,
    availabilityZone: backend.availabilityZone,
    region: backend.region
  }
}

/** Builds the configuration records of a deployment by key. */
export function buildRecords (layout: Layout, options: DeploymentOptions): Map<string, object> {
  const { firm } = layout
  const engines = layout.backends.filter((backend) => backend.role !== 'service')
  const prefills = engines.filter((backend) => backend.role === 'prefill')
  const records = new Map<string, object>([
    [`tier/${firm.paidTier}`, buildTier(firm, 'paid')],
    [`tier/${firm.freeTier}`, buildTier(firm, 'free')],
    [`caller/${firm.paidCaller}`, buildCaller(firm.paidTier, firm.paidKey)],
    [`caller/${firm.freeCaller}`, buildCaller(firm.freeTier, firm.freeKey)],
    [`model/${firm.model}`, {
      schema: 1,
      versions: [{ version: firm.version, adapter: '', weight: 1, weightBytes: 1_000_000 }],
      replicasPerZone: 1,
      prefillShare: prefills.length / Math.max(1, engines.length)
    }],
    [`service/${firm.service}`, {
      schema: 1,
      calls: [
        { method: 'POST', path: firm.writePath, idempotent: false },
        { method: 'GET', path: '/', idempotent: true }
      ],
      timeoutMs: options.serviceTimeoutMs ?? 2000
    }],
    ['policy/default', {
      schema: 1,
      reserve: 'reserve_first',
      choice: 'power_of_two',
      admission: 'tiered',
      paidHeadroom: 0.1,
      retryBudget: 0.2,
      affinitySeats: 2,
      ...options.policy
    }]
  ])
  for (const backend of layout.backends) {
    records.set(`backend/${backend.name}`, buildBackendRecord(backend, options, firm.version))
  }
  return records
}

/** Builds the element of the host list that describes a host. */
export function buildHostListEntry (host: Host, kind: 'entry' | 'agent', state: 'live' | 'leaving' = 'live'): object {
  return {
    name: host.name,
    kind,
    address: `127.0.0.1:${host.peerPort}`,
    availability_zone: host.availabilityZone,
    region: host.region,
    state
  }
}

/** Builds the settings file of an entry or agent; `platform` holds the addresses `ip:port` of the configuration service and host list. */
export function buildSettings (
  host: Host | Backend, platform: { config: string, hosts: string }, options: DeploymentOptions
): Record<string, unknown> {
  const shared = {
    name: host.name,
    availabilityZone: host.availabilityZone,
    region: host.region,
    peer: { host: '127.0.0.1', port: host.peerPort },
    platform: {
      config: { adapter: 'config_http', url: `http://${platform.config}` },
      hosts: { adapter: 'hosts_http', url: `http://${platform.hosts}` }
    },
    ...(options.timings ? { timings: options.timings } : {}),
    ...options.settings
  }
  if (!('role' in host)) {
    return { process: 'entry', ...shared, http: { host: '127.0.0.1', port: host.httpPort } }
  }
  const isService = host.role === 'service'
  return {
    process: 'agent',
    ...shared,
    backend: {
      kind: isService ? 'service' : 'engine',
      adapter: isService ? 'service_http' : 'engine_http',
      address: `127.0.0.1:${host.backendPort}`
    },
    ...(isService ? {} : { engine: { fencing: options.engine?.fencing ?? true } })
  }
}
