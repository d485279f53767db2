/**
 * Slopes of state: memory of what a process holds, processor time of what it works out.
 */
import { createConfiguration } from '../../core/configuration/mod.ts'
import { createLimiter } from '../../core/limits/mod.ts'
import { createMembership } from '../../core/membership/mod.ts'
import { choosePlacement } from '../../core/placement/mod.ts'
import { RecordKind } from '../../core/records/mod.ts'
import { createReservationTable } from '../../core/reservation/mod.ts'
import { chooseRelayPeers, chooseSubset } from '../../core/subset/mod.ts'
import type { SubsetMember } from '../../core/subset/mod.ts'
import { HostState } from '../../source/mod.ts'
import type { ConfigChange, HostEntry } from '../../source/mod.ts'
import type { Point } from './_fit.ts'
import { measureRetainedBytes, measureCpuMicros } from './_rig.ts'
import { buildBackendChange, buildCallerChange } from './_samples.ts'
import type { SlopeMeasurement } from './_wire_slopes.ts'

const rounds = 3
const recordCounts = [500, 1000, 2000, 3000, 5000]

/** Measures what `build(x)` keeps in memory. */
function memoryMeasure (name: string, per: string, sizes: number[], build: (x: number) => unknown): SlopeMeasurement {
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

/** Measures the processor time of `work(x)`, repeated so that the clock's resolution does not matter. */
function cpuMeasure (name: string, per: string, sizes: number[], repeats: number, prepare: (x: number) => () => void): SlopeMeasurement {
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

function pageOf (count: number, change: (index: number, revision: number) => ConfigChange): { revision: number, complete: boolean, changes: ConfigChange[] } {
  const changes = Array.from({ length: count }, (_, i) => change(i, i + 1))
  return { revision: count, complete: true, changes }
}

function storeOf (count: number, change: (index: number, revision: number) => ConfigChange): unknown {
  const config = createConfiguration()
  // Texts that come off the wire share nothing with each other.
  config.apply(JSON.parse(JSON.stringify(pageOf(count, change))))
  return config
}

function hostsOf (count: number): HostEntry[] {
  return Array.from({ length: count }, (_, i) => ({
    name: `host-${i}`,
    kind: i % 11 === 0 ? 'entry' as const : 'agent' as const,
    address: `10.20.${i >> 8}.${i & 255}:7000`,
    availabilityZone: `zone-${i % 13}`,
    region: `region-${i % 13 % 5}`,
    state: HostState.Live
  }))
}

function membershipOf (count: number): ReturnType<typeof createMembership> {
  const members = createMembership()
  members.applyHostList(hostsOf(count), 0)
  return members
}

function subsetMembers (count: number): SubsetMember[] {
  return hostsOf(count).map(({ name, availabilityZone }) => ({ name, availabilityZone, region: 'r' }))
}

function usageOf (callers: number): unknown {
  const limitOf = (): { requestsPerS: number, tokensPerS: number, concurrency: number } =>
    ({ requestsPerS: 150, tokensPerS: 50_000, concurrency: 1500 })
  const limits = createLimiter({ entry: 'entry-0', incarnation: 1, getLimits: limitOf })
  for (let i = 0; i < callers; i++) limits.admit(`caller-${i}`, 100, 1)
  const usage = Array.from({ length: callers }, (_, i) => ({
    caller: `caller-${i}`, requests: 1.5, tokens: 812.5, concurrency: 11, waiting: 0
  }))
  for (let entry = 1; entry <= 8; entry++) limits.onUsageShare(JSON.parse(JSON.stringify({ kind: 'usage_share', entry: `entry-${entry}`, incarnation: 1, seq: 1, usage })), 1)
  return limits
}

function reservationsOf (count: number): unknown {
  const table = createReservationTable({ seats: 100_000, pieces: 1e9 })
  for (let i = 0; i < count; i++) {
    table.reserve({ ref: { requestId: `entry-123-kz8f1q-${100000 + i}`, attempt: 1 }, owner: `entry-${i % 20}#1`, pieces: 125 }, 1)
  }
  return table
}

/** Works out the subset of one entry among agents of one region. */
function subsetWork (agentCount: number, entryCount: number): () => void {
  const entries = subsetMembers(entryCount)
  const agents = subsetMembers(agentCount).map((member, i) => ({ ...member, name: `backend-${i}`, group: `group-${i % 18}` }))
  const entry = entries[0] as SubsetMember
  return () => { chooseSubset({ entry, entries, agents, perGroup: 8, coverage: 3 }) }
}

function placementWork (count: number): () => void {
  const config = createConfiguration()
  config.apply(pageOf(count, buildBackendChange))
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

/** Lists the slopes of state. */
export function listStateSlopes (): SlopeMeasurement[] {
  return [
    memoryMeasure('a backend record', 'record', recordCounts, (x) => storeOf(x, buildBackendChange)),
    memoryMeasure('a caller record', 'record', recordCounts, (x) => storeOf(x, buildCallerChange)),
    memoryMeasure('a member', 'member', recordCounts, membershipOf),
    memoryMeasure('a caller\'s usage with 8 fellows', 'caller', [50, 100, 200, 400, 800], usageOf),
    memoryMeasure('a reservation', 'request', [500, 1000, 2000, 4000, 8000], reservationsOf),
    cpuMeasure('apply a complete page', 'record', recordCounts, 5, (x) => {
      const page = pageOf(x, buildBackendChange)
      return () => { createConfiguration().apply(page) }
    }),
    cpuMeasure('list all records for a peer', 'record', recordCounts, 200, (x) => {
      const config = createConfiguration()
      config.apply(pageOf(x, buildBackendChange))
      return () => { config.createPageSince(0) }
    }),
    cpuMeasure('take in a host list', 'host', recordCounts, 40, (x) => {
      const members = membershipOf(x)
      const hosts = hostsOf(x)
      return () => { members.applyHostList(hosts, 1) }
    }),
    cpuMeasure('tick the membership, listed members', 'member', recordCounts, 300, (x) => {
      const members = membershipOf(x)
      return () => { members.updateStates(1) }
    }),
    cpuMeasure('tick the membership, connected members', 'member', [50, 100, 200, 300, 400], 1000, (x) => {
      const members = membershipOf(0)
      for (const host of hostsOf(x)) members.recordConnection({ ...host, process: host.kind, incarnation: 1 }, 0)
      return () => { members.updateStates(1) }
    }),
    cpuMeasure('choose relay peers', 'member of the fleet', recordCounts, 30, (x) => {
      const members = subsetMembers(x)
      return () => { chooseRelayPeers({ self: 'host-7', members, readersPerZone: 3, fanOut: 4 }) }
    }),
    cpuMeasure('choose a subset among 86 entries', 'agent of the region', [100, 200, 400, 700, 1000], 40, (x) => subsetWork(x, 86)),
    cpuMeasure('choose a subset among 430 entries', 'agent of the region', [100, 200, 400, 700, 1000], 20, (x) => subsetWork(x, 430)),
    cpuMeasure('work out the placement', 'engine', [200, 500, 1000, 2000, 4000], 20, placementWork)
  ]
}
