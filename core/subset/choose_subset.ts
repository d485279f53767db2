/**
 * Chooses the agents that an entry keeps connections to.
 */
import type { Place } from '../types/mod.ts'
import { rankNames } from './choose_readers.ts'
import { hashPair, hashText } from './rendezvous_score.ts'

/** Describes a process on the host list. */
export interface SubsetMember extends Place {
  name: string
}

/** Describes an agent as a candidate. */
export interface SubsetAgent extends SubsetMember {
  /** What the backend server does, such as its model and role; every group gets its own subset. */
  group: string
}

/** Configures the choice of a subset. */
export interface SubsetOptions {
  /** The entry that chooses. */
  entry: SubsetMember
  /** Every entry of the deployment, the choosing one included. */
  entries: SubsetMember[]
  agents: SubsetAgent[]
  /** Agents wanted of each group. */
  perGroup: number
  /** Entries of the same region that each agent is to have at least. */
  coverage: number
}

/**
 * Chooses the agents that an entry talks with, so that connections do not grow as entries times agents.
 *
 * For each group the entry takes its `perGroup` highest agents by rendezvous hash, spread evenly over the availability
 * zones of its region; a group without an agent in the region is taken from all regions. It adds the agents that have
 * this entry among their `coverage` highest entries, so that every agent is covered. One host more or less moves only the
 * connections of that host.
 *
 * @param options the entry, the members and the two bounds
 * @returns the names of the agents, in order
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
  const chosen = new Set(agentsThatNeed(options))
  for (const group of groupBy(agents, (agent) => agent.group).values()) {
    const near = group.filter((agent) => agent.region === entry.region)
    for (const agent of spreadOverZones(entry, near.length > 0 ? near : group, perGroup)) chosen.add(agent.name)
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
    const ranked = rank(byZone.get(zone) ?? [], entryHash)
    chosen.push(...ranked.slice(0, quota))
    rest.push(...ranked.slice(quota))
  })
  // Zones with few agents leave room that the others fill.
  return [...chosen, ...rank(rest, entryHash).slice(0, perGroup - chosen.length)]
}

function rank<M extends SubsetMember> (members: M[], hash: number): M[] {
  const scored = members.map((member) => ({ member, score: hashPair(hash, hashText(member.name)) }))
  scored.sort((a, b) => b.score - a.score || (a.member.name < b.member.name ? -1 : 1))
  return scored.map(({ member }) => member)
}

function agentsThatNeed ({ entry, entries, agents, coverage }: SubsetOptions): string[] {
  const near = entries.filter((other) => other.region === entry.region && other.name !== entry.name)
  const others = near.map((other) => hashText(other.name))
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
