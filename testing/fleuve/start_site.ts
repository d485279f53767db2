/**
 * Starts a small site on the loopback address: a store, workers and one gateway.
 */
import { PassThrough } from 'node:stream'
import { startGateway } from '../../gateway/mod.ts'
import { createLog } from '../../log/mod.ts'
import { createSystemTimer } from '../../timer/mod.ts'
import { findFreePort } from '../ports/mod.ts'
import { startStore } from './start_store.ts'
import { startWorker } from './start_worker.ts'
import type { Gateway } from '../../gateway/mod.ts'
import type { NodeSettings } from '../../platform/mod.ts'
import type { FakeStore } from './start_store.ts'
import type { FakeWorker, FakeWorkerOptions } from './start_worker.ts'

/** Controls a running site. */
export interface Site {
  readonly store: FakeStore
  readonly workers: Map<string, FakeWorker>
  readonly settings: NodeSettings
  readonly gateway: Gateway
  /** Starts a worker and writes its entry to the store. */
  addWorker (options: FakeWorkerOptions): Promise<FakeWorker>
  /** Writes a version of the configuration to the store; `change` replaces its top-level fields. */
  writeConfiguration (version: number, change?: object): void
  /** Returns the log of the gateway so far, as text. */
  readLog (): string
  close (): Promise<void>
}

const engine = {
  slots: 64, kv_tokens: 100_000, kv_bytes: 10, link_mbps: 1000, stride: 10, handle_ttl_s: 0.5, stage_switch_s: 6, hold_ms: 2000, models: []
}
const route = { host: 'a.example', timeout_ms: 700, target_latency_ms: 200, priority: 1, max_attempts: 1 }

/** Returns a configuration in the form in which an operator writes it, as JSON; `change` replaces its top-level fields. */
export function buildConfiguration (version: number, change: object = {}): string {
  return JSON.stringify({
    version,
    routes: [
      { ...route, name: 'safe', prefix: '/safe/', kind: 'idempotent', max_attempts: 2, service: 'plain' },
      { ...route, name: 'unsafe', prefix: '/unsafe/', kind: 'non_idempotent', service: 'plain' },
      { ...route, name: 'stream', prefix: '/stream/', kind: 'streaming', timeout_ms: 3000, target_latency_ms: 600, gap_aim_ms: 300, service: 'llm' },
      { ...route, name: 'resume', prefix: '/resume/', kind: 'streaming', timeout_ms: 3000, target_latency_ms: 600, gap_aim_ms: 300, max_attempts: 2, allow_resume: true, service: 'llm' }
    ],
    services: [
      { name: 'plain', health_path: '/health', max_connections: 100 },
      { name: 'llm', health_path: '/health', max_connections: 100, engine }
    ],
    limits: { max_header_bytes: 8192, max_body_bytes: 1000, header_timeout_ms: 600, idle_timeout_ms: 5000 },
    ...change
  })
}

/** Configures a site. */
export interface SiteOptions {
  /** Port at which the gateway serves its metrics; by default it serves none. */
  metricsPort?: number
  /** Addresses `ip:port` of peers that the gateway connects to first; none by default. */
  seeds?: string[]
  /** Settings of the gateway that replace those of the site. */
  settings?: Partial<NodeSettings>
  /** Source of random numbers of the gateway; `Math.random` by default. */
  random?: () => number
}

/** Starts a store and a gateway, without workers and configuration; throws when the gateway doesn't start. */
export async function startSite (options: SiteOptions = {}): Promise<Site> {
  const store = await startStore()
  const workers = new Map<string, FakeWorker>()
  const [clients, ready, peers, internalPort] = [await findFreePort(), await findFreePort(), await findFreePort(), await findFreePort()]
  const settings: NodeSettings = {
    machine: 'edge-1',
    ip: '127.0.0.1',
    zone: 'levis',
    regions: { levis: 'qc-est' },
    clientAddress: `127.0.0.1:${clients}`,
    readyAddress: `127.0.0.1:${ready}`,
    peerAddress: `127.0.0.1:${peers}`,
    internalPort,
    seeds: options.seeds ?? [],
    storeAddress: store.address,
    heartbeatMs: 1200,
    graceMs: 5000,
    drainMs: 2500,
    retryRatio: 0.2,
    retrySlack: 80,
    retryWindowMs: 10_000,
    orderLeaseMs: 3000,
    ...options.settings
  }
  const timer = createSystemTimer()
  const stream = new PassThrough()
  const logChunks: string[] = []
  stream.on('data', (chunk) => { logChunks.push(String(chunk)) })
  const log = createLog({ name: 'edge-1', level: 'info', stream })
  const started = await startGateway({
    settings, timer, log, random: options.random ?? Math.random, ...(options.metricsPort === undefined ? {} : { metricsPort: options.metricsPort })
  })
  const gateway = started.unwrap()

  return {
    store,
    workers,
    settings,
    gateway,
    async addWorker (worker) {
      const started = await startWorker(worker)
      workers.set(worker.id, started)
      store.put(`servers/${worker.id}`, started.buildEntry())
      return started
    },
    writeConfiguration (version, change) { store.put('op/config', buildConfiguration(version, change)) },
    readLog: () => logChunks.join(''),
    async close () {
      await gateway.close()
      timer.close()
      for (const worker of workers.values()) await worker.close()
      await store.close()
    }
  }
}
