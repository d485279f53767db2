/**
 * Chooses the agents that an entry connects to.
 */
import { chooseSubset } from '../core/subset/mod.ts'
import type { Member } from '../core/membership/mod.ts'
import type { BackendRecord } from '../core/records/mod.ts'
import type { SubsetAgent, SubsetMember } from '../core/subset/mod.ts'
import type { Place } from '../core/types/mod.ts'

/** Agents for each model and role that an entry connects to in its own region. */
const nearPerGroup = 8

/** Agents for each model and role that an entry connects to in other regions, for when its own region has no capacity. */
const farPerGroup = 2

/** Smallest number of entries that each agent of a region is connected to. */
const coverage = 3

function toAgent (record: BackendRecord): SubsetAgent {
  const { name, availabilityZone, region, role, serves } = record
  return { name, availabilityZone, region, group: `${role}/${serves}` }
}

/**
 * Chooses the backend servers whose agents an entry connects to: a bounded number for each model and role.
 *
 * @param self name and place of the entry
 * @param members the members that are not gone
 * @param backends every backend server on record
 * @returns the records of the chosen backend servers, in the order of `backends`
 */
export function chooseAgents (self: { name: string } & Place, members: Member[], backends: BackendRecord[]): BackendRecord[] {
  const { name, availabilityZone, region } = self
  const entry: SubsetMember = { name, availabilityZone, region }
  const others = members.filter((member) => member.process === 'entry' && member.name !== name)
  const entries = [entry, ...others]
  // A leaving agent stays in the subset: its health already keeps new work away, and its replacement has the same address.
  const candidates = backends.filter((record) => record.weight > 0)
  const near = candidates.filter((record) => record.region === region).map(toAgent)
  const far = candidates.filter((record) => record.region !== region).map(toAgent)
  const chosen = new Set([
    ...chooseSubset({ entry, entries, agents: near, perGroup: nearPerGroup, coverage }),
    ...chooseSubset({ entry, entries, agents: far, perGroup: farPerGroup, coverage: 0 })
  ])
  return backends.filter((record) => chosen.has(record.name))
}
