/**
 * Measures how connections and the host list grow with the size of the deployment.
 */
import { chooseSubset } from '../../core/subset/mod.ts'
import type { SubsetAgent, SubsetMember } from '../../core/subset/mod.ts'
import { createHostListHttp } from '../../source/mod.ts'
import type { Point } from './_fit.ts'
import { measureCpuMicros } from './_rig.ts'
import type { Rig } from './_rig.ts'
import { buildHostListBody } from './_samples.ts'
import type { SlopeMeasurement } from './_wire_slopes.ts'

/** Entries and agents of the full size, which set the ratio of both at smaller sizes. */
const fullEntryCount = 430
const fullAgentCount = 4700
const zoneCount = 13
const regionCount = 5
const modelCount = 9
/** Connections that an entry opens to each group of agents, as in `entry/_choose_agents.ts`. */
const nearPerGroup = 8
const farPerGroup = 2
const coverage = 3
const hostCounts = [500, 1000, 2000, 3000, 5000]
const rounds = 3
const readsPerRound = 10

/** Numbers of connections: the means, and the lowest number at any agent. */
interface Connections {
  perEntry: number
  perAgent: number
  fewestPerAgent: number
}

/** Results by number of agents; every slope of connections uses the same ones. */
const connectionsByAgentCount = new Map<number, Connections>()

function buildMembers (kind: string, count: number): SubsetMember[] {
  return Array.from({ length: count }, (_, i) => {
    const zone = i % zoneCount
    return { name: `${kind}-${i}`, availabilityZone: `zone-${zone}`, region: `region-${zone % regionCount}` }
  })
}

/** Counts the connections that the entries choose at a number of agents; the number of entries is in proportion. */
function countConnections (agentCount: number): Connections {
  const entries = buildMembers('entry', Math.round(fullEntryCount * agentCount / fullAgentCount))
  const agents: SubsetAgent[] = buildMembers('agent', agentCount).map((member, i) => ({
    ...member,
    group: `${Math.floor(i / zoneCount) % 5 < 2 ? 'prefill' : 'decode'}/${Math.floor(i / zoneCount / 5) % modelCount}`
  }))
  const connectionsByAgent = new Map(agents.map(({ name }) => [name, 0]))
  let total = 0
  for (const entry of entries) {
    const near = agents.filter(({ region }) => region === entry.region)
    const far = agents.filter(({ region }) => region !== entry.region)
    const chosen = new Set([
      ...chooseSubset({ entry, entries, agents: near, perGroup: nearPerGroup, coverage }),
      ...chooseSubset({ entry, entries, agents: far, perGroup: farPerGroup, coverage: 0 })
    ])
    total += chosen.size
    for (const name of chosen) connectionsByAgent.set(name, (connectionsByAgent.get(name) ?? 0) + 1)
  }
  const counts = [...connectionsByAgent.values()]
  return { perEntry: total / entries.length, perAgent: total / agents.length, fewestPerAgent: Math.min(...counts) }
}

function createConnectionsMeasurement (name: string, pick: (connections: Connections) => number): SlopeMeasurement {
  async function run (): Promise<Point[]> {
    return [1000, 1800, 3000, 4700].map((x) => {
      const connections = connectionsByAgentCount.get(x) ?? countConnections(x)
      connectionsByAgentCount.set(x, connections)
      return { x, y: pick(connections) }
    })
  }
  return { name, per: 'agent of the fleet', unit: '', run }
}

const hostListBytes: SlopeMeasurement = {
  name: 'bytes of the host list',
  per: 'host',
  unit: 'B',
  run: async () => hostCounts.map((x) => ({ x, y: buildHostListBody(x).length }))
}

const hostListRead: SlopeMeasurement = {
  name: 'cpu to read and check the host list',
  per: 'host',
  unit: 'us',
  async run (rig: Rig) {
    const points: Point[] = []
    for (const x of hostCounts) {
      const port = await rig.runCommand({ op: 'serve', hosts: x })
      const hostList = createHostListHttp({ url: `http://127.0.0.1:${port}` })
      for (let round = 0; round <= rounds; round++) {
        const micros = await measureCpuMicros(async () => {
          for (let i = 0; i < readsPerRound; i++) (await hostList.read()).unwrap()
        })
        if (round > 0) points.push({ x, y: micros / readsPerRound })
      }
      await hostList.close()
    }
    return points
  }
}

/** Lists the slopes that depend on the size of the deployment. */
export function listFleetSlopes (): SlopeMeasurement[] {
  return [
    hostListBytes,
    hostListRead,
    createConnectionsMeasurement('connections of an entry to agents, mean', ({ perEntry }) => perEntry),
    createConnectionsMeasurement('connections of an agent to entries, mean', ({ perAgent }) => perAgent),
    createConnectionsMeasurement('connections of an agent to entries, fewest', ({ fewestPerAgent }) => fewestPerAgent)
  ]
}
