/**
 * The assignment of a role and a model version to every engine, from the records and the live hosts.
 */
import type { BackendRecord, ModelRecord } from '../records/mod.ts'
import { rendezvousScore } from '../subset/mod.ts'
import { Role } from '../types/mod.ts'
import type { Assignment, PlacementView } from './_types.ts'

interface Group {
  model: ModelRecord
  engines: BackendRecord[]
  /** Minimum number of engines of the model in this availability zone. */
  minEngines: number
}

/**
 * Assigns a role and a model version to every live engine.
 *
 * An engine serves the model of its record. A model with fewer than its minimum number of engines in an availability zone takes
 * engines there of the model with the largest surplus, the lowest by rendezvous hash first. Every process with the same view thus gets
 * the same result, and the loss of one host moves few engines. Within a model, the prefill share determines the roles and the weights
 * of the versions determine the versions; engines keep the role and version of their record where possible.
 *
 * @param view the records and the live hosts
 * @returns the assignments, by the name of the backend server
 *
 * @example
 * ```ts
 * import { choosePlacement } from 'briarloom/core/placement'
 *
 * console.assert(choosePlacement({ models: [], backends: [], isLive: () => true }).size === 0)
 * ```
 */
export function choosePlacement (view: PlacementView): Map<string, Assignment> {
  const result = new Map<string, Assignment>()
  const engines = view.backends.filter((backend) => backend.role !== Role.Service)
  const zones = new Set(engines.map((engine) => engine.availabilityZone))
  for (const zone of zones) {
    const inZone = engines.filter((engine) => engine.availabilityZone === zone)
    for (const group of groupByModel(inZone, view)) assignGroup(group, view, result)
  }
  return result
}

/** Returns the minimum number of decode engines of a model in an availability zone that has engines of it. */
export function minDecodeEngines (model: ModelRecord): number {
  return Math.max(1, model.replicasPerZone)
}

function groupByModel (engines: BackendRecord[], view: PlacementView): Group[] {
  const live = engines.filter((engine) => engine.weight > 0 && view.isLive(engine.name))
  const groups = view.models.filter((model) => engines.some((engine) => engine.serves === model.name)).map((model) => ({
    model,
    engines: live.filter((engine) => engine.serves === model.name),
    minEngines: minDecodeEngines(model) + Number(model.prefillShare > 0)
  }))
  const known = new Set(groups.map((group) => group.model.name))
  const spare = live.filter((engine) => !known.has(engine.serves))
  for (const group of groups) fillGroup(group, groups, spare)
  return groups
}

function fillGroup (group: Group, groups: Group[], spare: BackendRecord[]): void {
  while (group.engines.length < group.minEngines) {
    const donor = spare.pop() ?? takeSurplusEngine(groups)
    if (donor === undefined) return
    group.engines.push(donor)
  }
}

function takeSurplusEngine (groups: Group[]): BackendRecord | undefined {
  const surplus = (group: Group): number => group.engines.length - group.minEngines
  const [largest] = [...groups].sort((a, b) => surplus(b) - surplus(a) || (a.model.name < b.model.name ? -1 : 1))
  if (largest === undefined || surplus(largest) <= 0) return undefined
  const lowest = rankEngines(largest.engines, largest.model.name).at(-1) as BackendRecord
  largest.engines.splice(largest.engines.indexOf(lowest), 1)
  return lowest
}

function rankEngines (engines: BackendRecord[], key: string, isPreferred: (engine: BackendRecord) => boolean = () => false): BackendRecord[] {
  const scored = engines.map((engine) => ({
    engine, preferred: Number(isPreferred(engine)), score: rendezvousScore(key, engine.name)
  }))
  scored.sort((a, b) => b.preferred - a.preferred || b.score - a.score)
  return scored.map(({ engine }) => engine)
}

function assignGroup ({ model, engines }: Group, view: PlacementView, result: Map<string, Assignment>): void {
  const share = view.prefillShare?.(model.name) ?? model.prefillShare
  const prefillCount = countPrefillEngines(engines.length, share, minDecodeEngines(model))
  const isPrefill = (engine: BackendRecord): boolean => engine.serves === model.name && engine.role === Role.Prefill
  const ordered = rankEngines(engines, `${model.name}/${Role.Prefill}`, isPrefill)
  const byRole = { [Role.Prefill]: ordered.slice(0, prefillCount), [Role.Decode]: ordered.slice(prefillCount) }
  const smallestRoleSize = Math.max(1, Math.min(...Object.values(byRole).map(({ length }) => length).filter((length) => length > 0)))
  const versions = model.versions.filter(({ weight }) => weight > 0)
    .sort((a, b) => b.weight - a.weight || (a.version < b.version ? -1 : 1)).slice(0, smallestRoleSize)
  for (const role of [Role.Prefill, Role.Decode] as const) assignVersions(model.name, role, byRole[role], versions, result)
}

function countPrefillEngines (engines: number, share: number, minDecode: number): number {
  const wantedCount = Math.max(Math.round(share * engines), share > 0 && engines > 1 ? 1 : 0)
  return Math.max(0, Math.min(wantedCount, engines - Math.min(minDecode, engines - Number(share > 0 && engines > 1))))
}

function assignVersions (model: string, role: Role.Prefill | Role.Decode, engines: BackendRecord[],
  versions: ModelRecord['versions'], result: Map<string, Assignment>): void {
  const counts = apportion(engines.length, versions.map(({ weight }) => weight))
  let unassigned = engines
  versions.forEach(({ version, adapter }, index) => {
    const isPreferred = (engine: BackendRecord): boolean => engine.serves === model && engine.version === version
    const ordered = rankEngines(unassigned, `${model}/${role}/${version}`, isPreferred)
    const count = counts[index] ?? 0
    for (const engine of ordered.slice(0, count)) result.set(engine.name, { role, model, version, adapter })
    unassigned = ordered.slice(count)
  })
}

/** Divides a number of engines by weights with the largest remainder method; each weight gets at least 1 when there are enough. */
function apportion (total: number, weights: number[]): number[] {
  const sum = weights.reduce((a, b) => a + b, 0)
  const shares = weights.map((weight) => total * weight / sum)
  const counts = shares.map((share) => Math.max(total >= weights.length ? 1 : 0, Math.floor(share)))
  const countExcess = (): number => counts.reduce((a, b) => a + b, 0) - total
  const findLargestGap = (sign: number): number => shares.map((share, i) => ({ i, gap: sign * (share - (counts[i] ?? 0)) }))
    .sort((a, b) => b.gap - a.gap)[0]?.i ?? 0
  while (countExcess() < 0) counts[findLargestGap(1)]! += 1
  while (countExcess() > 0) counts[findLargestGap(-1)]! -= 1
  return counts
}
