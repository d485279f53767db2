/**
 * Measures the memory of the state that a process holds, and the processor time of its periodic computations.
 */
import { createConfiguration } from '../../core/configuration/mod.ts'
import { createLimiter } from '../../core/limits/mod.ts'
import { createMembership } from '../../core/membership/mod.ts'
import { choosePoints, createOriginTable } from '../../core/origin/mod.ts'
import type { OriginTable } from '../../core/origin/mod.ts'
import { choosePlacement } from '../../core/placement/mod.ts'
import { RecordKind } from '../../core/records/mod.ts'
import { createRouteTable, identifyCaller } from '../../core/route/mod.ts'
import type { RouteTable } from '../../core/route/mod.ts'
import { createReservationTable } from '../../core/reservation/mod.ts'
import { chooseRelayPeers, chooseSubset, hashText } from '../../core/subset/mod.ts'
import type { SubsetMember } from '../../core/subset/mod.ts'
import { HostState } from '../../source/mod.ts'
import type { ConfigChange, HostEntry } from '../../source/mod.ts'
import type { Point } from './_fit.ts'
import { measureRetainedBytes, measureCpuMicros } from './_rig.ts'
import { buildBackendChange, buildCallerChange } from './_samples.ts'
import type { SlopeMeasurement } from './_wire_slopes.ts'

const rounds = 3
const recordCounts = [500, 1000, 2000, 3000, 5000]

/** Creates the measurement of the memory in bytes that the result of `build(x)` retains. */
function createMemoryMeasurement (name: string, per: string, sizes: number[], build: (x: number) => unknown): SlopeMeasurement {
  async function run (): Promise<Point[]> {
    const points: Point[] = []
    for (let round = 0; round <= rounds; round++) {
      for (const x of sizes) {
        const y = await measureRetainedBytes(() => build(x))
        if (round > 0) points.push({ x, y })
      }
    }
    return points
  }
  return { name: `memory of ${name}`, per, unit: 'B', run }
}

/**
 * Creates the measurement of the processor time of the function that `prepare(x)` returns. It runs `repeats` times, so that
 * the resolution of the clock does not matter.
 */
function createCpuMeasurement (name: string, per: string, sizes: number[], repeats: number,
  prepare: (x: number) => () => void): SlopeMeasurement {
  async function run (): Promise<Point[]> {
    const points: Point[] = []
    for (let round = 0; round <= rounds; round++) {
      for (const x of sizes) {
        const work = prepare(x)
        const micros = await measureCpuMicros(() => { for (let i = 0; i < repeats; i++) work() })
        if (round > 0) points.push({ x, y: micros / repeats })
      }
    }
    return points
  }
  return { name: `cpu to ${name}`, per, unit: 'us', run }
}

function buildPage (count: number,
  change: (index: number, revision: number) => ConfigChange): { revision: number, complete: boolean, changes: ConfigChange[] } {
  const changes = Array.from({ length: count }, (_, i) => change(i, i + 1))
  return { revision: count, complete: true, changes }
}

function buildConfiguration (count: number, change: (index: number, revision: number) => ConfigChange): unknown {
  const config = createConfiguration()
  // Like a received message, a parsed copy shares no strings with other messages.
  config.apply(JSON.parse(JSON.stringify(buildPage(count, change))))
  return config
}

function buildHosts (count: number): HostEntry[] {
  return Array.from({ length: count }, (_, i) => ({
    name: `host-${i}`,
    kind: i % 11 === 0 ? 'entry' as const : 'agent' as const,
    address: `10.20.${i >> 8}.${i & 255}:7000`,
    availabilityZone: `zone-${i % 13}`,
    region: `region-${i % 13 % 5}`,
    state: HostState.Live
  }))
}

function buildMembership (count: number): ReturnType<typeof createMembership> {
  const members = createMembership()
  members.applyHostList(buildHosts(count), 0)
  return members
}

function buildSubsetMembers (count: number): SubsetMember[] {
  return buildHosts(count).map(({ name, availabilityZone }) => ({ name, availabilityZone, region: 'r' }))
}

/** Builds a limiter with the usage of its own callers and that of 8 other entries. */
function buildLimiter (callers: number): unknown {
  const getFixedLimits = (): { requestsPerS: number, tokensPerS: number, concurrency: number } =>
    ({ requestsPerS: 150, tokensPerS: 50_000, concurrency: 1500 })
  const limiter = createLimiter({ entry: 'entry-0', incarnation: 1, getLimits: getFixedLimits })
  for (let i = 0; i < callers; i++) limiter.admit(`caller-${i}`, 100, 1)
  const usage = Array.from({ length: callers }, (_, i) => ({
    caller: `caller-${i}`, requests: 1.5, tokens: 812.5, concurrency: 11, waiting: 0
  }))
  for (let entry = 1; entry <= 8; entry++) {
    limiter.onUsageShare(JSON.parse(JSON.stringify({
      kind: 'usage_share', entry: `entry-${entry}`, incarnation: 1, seq: 1, usage
    })), 1)
  }
  return limiter
}

function buildReservations (count: number): unknown {
  const table = createReservationTable({ seats: 100_000, pieces: 1e9 })
  for (let i = 0; i < count; i++) {
    table.reserve({ ref: { requestId: `entry-123-kz8f1q-${100000 + i}`, attempt: 1 }, owner: `entry-${i % 20}#1`, pieces: 125 }, 1)
  }
  return table
}

/** Prepares the choice of one entry's subset of the agents of one region. */
function prepareSubset (agentCount: number, entryCount: number): () => void {
  const entries = buildSubsetMembers(entryCount)
  const agents = buildSubsetMembers(agentCount).map((member, i) => ({ ...member, name: `backend-${i}`, group: `group-${i % 18}` }))
  const entry = entries[0] as SubsetMember
  return () => { chooseSubset({ entry, entries, agents, perGroup: 8, coverage: 3 }) }
}

function preparePlacement (count: number): () => void {
  const config = createConfiguration()
  config.apply(buildPage(count, buildBackendChange))
  const backends = config.list(RecordKind.Backend)
  const models = Array.from({ length: 9 }, (_, i) => ({
    kind: RecordKind.Model as const,
    name: `model-${i}`,
    versions: [{ version: '2026-11', adapter: '', weight: 1, weightBytes: 1e11 }],
    replicasPerZone: 2,
    prefillShare: 0.4
  }))
  return () => { choosePlacement({ models, backends, isLive: () => true }) }
}

const keyCounts = [500, 1000, 2000, 5000, 10_000]
/** Number of organisations that share the keys. */
const organisationCount = 260

/** Builds the table of rules whose organisations hold so many keys together; a parsed copy shares no strings with other tables. */
function buildKeyTable (count: number): RouteTable {
  const organisations = Array.from({ length: organisationCount }, (_, i) => ({
    name: `organisation-${i}`, keys: Array.from({ length: Math.ceil((count - i) / organisationCount) }, (_unused, k) => buildKey(i + k * organisationCount))
  }))
  const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
  return createRouteTable({ version: 1, routes: [], services: [], limits, organisations: JSON.parse(JSON.stringify(organisations)) })
}

function buildKey (index: number): string { return `n9m68k7b2ex5wa5x${index.toString(36).padStart(4, '0')}` }

/** Prepares the identification of the caller of one request, of which each second has a key that nobody holds. */
function prepareIdentification (count: number): () => void {
  const table = buildKeyTable(count)
  let index = 0
  return () => {
    index = (index + 7) % count
    const caller = identifyCaller(table, { allowsAnonymous: false }, { key: index % 2 === 0 ? buildKey(index) : `x${index}`, hasCredentials: true })
    if (caller.ok !== (index % 2 === 0)) throw new Error(`key ${index}`)
  }
}

function buildOrigins (count: number): OriginTable {
  const table = createOriginTable({ maxRecords: count, keepMs: 60_000 })
  for (let i = 0; i < count; i++) table.record({ requestId: `request-${i}`, service: 'llm', softwareVersion: 'v1.2' }, 0)
  return table
}

function choosePointsOfAll (count: number): void {
  const names = Array.from({ length: count }, (_, i) => `10.0.${i >> 8}.${i & 255}:7600`)
  const candidates = names.map((name, i) => ({ name, nameHash: hashText(name), zone: `z${i % 13}`, region: `r${i % 13 % 5}`, isLeaving: false }))
  for (let group = 0; group < 512; group++) choosePoints({ key: String(group), candidates, count: 3 })
}

/** Lists the slopes of state and of periodic computations. */
export function listStateSlopes (): SlopeMeasurement[] {
  return [
    createMemoryMeasurement('a backend record', 'record', recordCounts, (x) => buildConfiguration(x, buildBackendChange)),
    createMemoryMeasurement('a caller record', 'record', recordCounts, (x) => buildConfiguration(x, buildCallerChange)),
    createMemoryMeasurement('a member', 'member', recordCounts, buildMembership),
    createMemoryMeasurement('a caller\'s usage with 8 fellows', 'caller', [50, 100, 200, 400, 800], buildLimiter),
    createMemoryMeasurement('a reservation', 'request', [500, 1000, 2000, 4000, 8000], buildReservations),
    createMemoryMeasurement('an API key', 'key', keyCounts, buildKeyTable),
    createMemoryMeasurement('the origin of a stream', 'stream', recordCounts, buildOrigins),
    createCpuMeasurement('choose the points of 512 groups of streams', 'sidecar', [100, 200, 400, 800], 5, (x) => () => { choosePointsOfAll(x) }),
    createCpuMeasurement('identify a caller by its API key', 'key', keyCounts, 20_000, prepareIdentification),
    createCpuMeasurement('build a table with API keys', 'key', keyCounts, 5, (x) => () => { buildKeyTable(x) }),
    createCpuMeasurement('apply a complete page', 'record', recordCounts, 5, (x) => {
      const page = buildPage(x, buildBackendChange)
      return () => { createConfiguration().apply(page) }
    }),
    createCpuMeasurement('list all records for a peer', 'record', recordCounts, 200, (x) => {
      const config = createConfiguration()
      config.apply(buildPage(x, buildBackendChange))
      return () => { config.createPageSince(0) }
    }),
    createCpuMeasurement('take in a host list', 'host', recordCounts, 40, (x) => {
      const members = buildMembership(x)
      const hosts = buildHosts(x)
      return () => { members.applyHostList(hosts, 1) }
    }),
    createCpuMeasurement('tick the membership, listed members', 'member', recordCounts, 300, (x) => {
      const members = buildMembership(x)
      return () => { members.updateStates(1) }
    }),
    createCpuMeasurement('tick the membership, connected members', 'member', [50, 100, 200, 300, 400], 1000, (x) => {
      const members = buildMembership(0)
      for (const host of buildHosts(x)) members.recordConnection({ ...host, process: host.kind, incarnation: 1 }, 0)
      return () => { members.updateStates(1) }
    }),
    createCpuMeasurement('choose relay peers', 'member of the fleet', recordCounts, 30, (x) => {
      const members = buildSubsetMembers(x)
      return () => { chooseRelayPeers({ self: 'host-7', members, readersPerZone: 3, fanOut: 4 }) }
    }),
    createCpuMeasurement('choose a subset among 86 entries', 'agent of the region', [100, 200, 400, 700, 1000], 40,
      (x) => prepareSubset(x, 86)),
    createCpuMeasurement('choose a subset among 430 entries', 'agent of the region', [100, 200, 400, 700, 1000], 20,
      (x) => prepareSubset(x, 430)),
    createCpuMeasurement('work out the placement', 'engine', [200, 500, 1000, 2000, 4000], 20, preparePlacement)
  ]
}
