/**
 * The choice of the agents to which an entry keeps connections.
 */
import type { Place } from '../types/mod.ts'
import { rankNames } from './choose_readers.ts'
import { hashPair, hashText } from './rendezvous_score.ts'

/** Describes a process on the host list. */
export interface SubsetMember extends Place {
  name: string
}

/** Describes an agent that can be chosen. */
export interface SubsetAgent extends SubsetMember {
  /** What the backend server does, such as its model and role; a subset is chosen for each group. */
  group: string
}

/** Configures the choice of a subset. */
export interface SubsetOptions {
  /** The entry that chooses. */
  entry: SubsetMember
  /** All entries of the deployment, including the one that chooses. */
  entries: SubsetMember[]
  /** All agents of the deployment. */
  agents: SubsetAgent[]
  /** Number of agents to choose of each group. */
  perGroup: number
  /** Minimum number of entries of its region that are connected to each agent. */
  coverage: number
}

/**
 * Chooses the agents to which an entry connects, so that the number of connections does not grow with entries times agents.
 *
 * From each group the entry chooses its `perGroup` highest agents by rendezvous hash, spread evenly over the availability zones of its
 * region; a group without an agent in the region is chosen from all regions. It adds the agents that have this entry among their
 * `coverage` highest entries, so that every agent is covered. Adding or removing one host changes only the connections of that host.
 *
 * @param options the entry, the members, the subset size and the coverage
 * @returns the names of the agents, in alphabetical order
 *
 * @example
 * ```ts
 * import { chooseSubset } from 'briarloom/core/subset'
 *
 * const place = { availabilityZone: 'levis', region: 'qc-est' }
 * const entry = { name: 'e1', ...place }
 * const agents = [{ name: 'a1', group: 'resume/decode', ...place }]
 * console.assert(chooseSubset({ entry, entries: [entry], agents, perGroup: 4, coverage: 2 })[0] === 'a1')
 * ```
 */
export function chooseSubset (options: SubsetOptions): string[] {
  const { entry, agents, perGroup } = options
  const chosen = new Set(listCoveredAgents(options))
  for (const group of groupBy(agents, (agent) => agent.group).values()) {
    const inRegion = group.filter((agent) => agent.region === entry.region)
    for (const agent of spreadOverZones(entry, inRegion.length > 0 ? inRegion : group, perGroup)) chosen.add(agent.name)
  }
  return [...chosen].sort()
}

function spreadOverZones (entry: SubsetMember, agents: SubsetAgent[], perGroup: number): SubsetAgent[] {
  const byZone = groupBy(agents, (agent) => agent.availabilityZone)
  const zones = rankNames([...byZone.keys()], `${entry.name}/${agents[0]?.group}`)
  const perZone = Math.floor(perGroup / zones.length)
  const entryHash = hashText(entry.name)
  const chosen: SubsetAgent[] = []
  const rest: SubsetAgent[] = []
  zones.forEach((zone, index) => {
    const quota = perZone + Number(index < perGroup % zones.length)
    const ranked = rankMembers(byZone.get(zone) ?? [], entryHash)
    chosen.push(...ranked.slice(0, quota))
    rest.push(...ranked.slice(quota))
  })
  // Zones with fewer agents than their quota leave the rest to other zones.
  return [...chosen, ...rankMembers(rest, entryHash).slice(0, perGroup - chosen.length)]
}

function rankMembers<M extends SubsetMember> (members: M[], hash: number): M[] {
  const scored = members.map((member) => ({ member, score: hashPair(hash, hashText(member.name)) }))
  scored.sort((a, b) => b.score - a.score || (a.member.name < b.member.name ? -1 : 1))
  return scored.map(({ member }) => member)
}

function listCoveredAgents ({ entry, entries, agents, coverage }: SubsetOptions): string[] {
  const inRegion = entries.filter((other) => other.region === entry.region && other.name !== entry.name)
  const others = inRegion.map((other) => hashText(other.name))
  const own = hashText(entry.name)
  const regions = new Set(entries.map((other) => other.region))
  return agents.filter((agent) => agent.region === entry.region || !regions.has(agent.region))
    .filter((agent) => isAmongHighest(hashText(agent.name), own, others, coverage))
    .map((agent) => agent.name)
}

function isAmongHighest (agent: number, own: number, others: number[], coverage: number): boolean {
  const score = hashPair(agent, own)
  if (coverage <= 0) return false
  let higher = 0
  for (const other of others) {
    if (hashPair(agent, other) > score && ++higher >= coverage) return false
  }
  return true
}

function groupBy<T> (items: T[], keyOf: (item: T) => string): Map<string, T[]> {
  const groups = new Map<string, T[]>()
  for (const item of items) {
    const group = groups.get(keyOf(item))
    if (group === undefined) groups.set(keyOf(item), [item])
    else group.push(item)
  }
  return groups
}
