/**
 * Works out what every engine is to do from the records and the live hosts.
 */
import type { BackendRecord, ModelRecord } from '../records/mod.ts'
import { rendezvousScore } from '../subset/mod.ts'
import { Role } from '../types/mod.ts'
import type { Assignment, PlacementView } from './_types.ts'

interface Group {
  model: ModelRecord
  engines: BackendRecord[]
  /** Engines below which the model must not fall in this availability zone. */
  least: number
}

/**
 * Works out what every live engine is to do.
 *
 * An engine serves the model of its record. A model that falls below its least number of engines in an availability zone takes
 * engines of the model with the most to spare there, the lowest by rendezvous hash first, so that everyone with the same view
 * works out the same and one host's loss moves few. Within a model, the prefill share gives the roles and the weights of the
 * versions give the versions; engines keep the role and version of their record where they can.
 *
 * @param view the records and the live hosts
 * @returns the assignments by the name of the backend server
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
    for (const group of groupZone(inZone, view)) assignGroup(group, view, result)
  }
  return result
}

/** Returns the least number of decode engines of a model in an availability zone that has any. */
export function minDecodeEngines (model: ModelRecord): number {
  return Math.max(1, model.replicasPerZone)
}

function groupZone (engines: BackendRecord[], view: PlacementView): Group[] {
  const live = engines.filter((engine) => engine.weight > 0 && view.isLive(engine.name))
  const groups = view.models.filter((model) => engines.some((engine) => engine.serves === model.name)).map((model) => ({
    model,
    engines: live.filter((engine) => engine.serves === model.name),
    least: minDecodeEngines(model) + Number(model.prefillShare > 0)
  }))
  const known = new Set(groups.map((group) => group.model.name))
  const spare = live.filter((engine) => !known.has(engine.serves))
  for (const group of groups) fillUp(group, groups, spare)
  return groups
}

function fillUp (group: Group, groups: Group[], spare: BackendRecord[]): void {
  while (group.engines.length < group.least) {
    const donor = spare.pop() ?? takeFrom(groups)
    if (donor === undefined) return
    group.engines.push(donor)
  }
}

function takeFrom (groups: Group[]): BackendRecord | undefined {
  const surplus = (group: Group): number => group.engines.length - group.least
  const [richest] = [...groups].sort((a, b) => surplus(b) - surplus(a) || (a.model.name < b.model.name ? -1 : 1))
  if (richest === undefined || surplus(richest) <= 0) return undefined
  const lowest = rank(richest.engines, richest.model.name).at(-1) as BackendRecord
  richest.engines.splice(richest.engines.indexOf(lowest), 1)
  return lowest
}

function rank (engines: BackendRecord[], key: string, isPreferred: (engine: BackendRecord) => boolean = () => false): BackendRecord[] {
  const scored = engines.map((engine) => ({
    engine, preferred: Number(isPreferred(engine)), score: rendezvousScore(key, engine.name)
  }))
  scored.sort((a, b) => b.preferred - a.preferred || b.score - a.score)
  return scored.map(({ engine }) => engine)
}

function assignGroup ({ model, engines }: Group, view: PlacementView, result: Map<string, Assignment>): void {
  const share = view.prefillShare?.(model.name) ?? model.prefillShare
  const prefills = countPrefill(engines.length, share, minDecodeEngines(model))
  const isPrefill = (engine: BackendRecord): boolean => engine.serves === model.name && engine.role === Role.Prefill
  const ordered = rank(engines, `${model.name}/${Role.Prefill}`, isPrefill)
  const byRole = { [Role.Prefill]: ordered.slice(0, prefills), [Role.Decode]: ordered.slice(prefills) }
  const fewest = Math.max(1, Math.min(...Object.values(byRole).map(({ length }) => length).filter((length) => length > 0)))
  const versions = model.versions.filter(({ weight }) => weight > 0)
    .sort((a, b) => b.weight - a.weight || (a.version < b.version ? -1 : 1)).slice(0, fewest)
  for (const role of [Role.Prefill, Role.Decode] as const) assignVersions(model.name, role, byRole[role], versions, result)
}

function countPrefill (engines: number, share: number, decodes: number): number {
  const wanted = Math.max(Math.round(share * engines), share > 0 && engines > 1 ? 1 : 0)
  return Math.max(0, Math.min(wanted, engines - Math.min(decodes, engines - Number(share > 0 && engines > 1))))
}

function assignVersions (model: string, role: Role.Prefill | Role.Decode, engines: BackendRecord[],
  versions: ModelRecord['versions'], result: Map<string, Assignment>): void {
  const counts = apportion(engines.length, versions.map(({ weight }) => weight))
  let free = engines
  versions.forEach(({ version, adapter }, index) => {
    const isPreferred = (engine: BackendRecord): boolean => engine.serves === model && engine.version === version
    const ordered = rank(free, `${model}/${role}/${version}`, isPreferred)
    const count = counts[index] ?? 0
    for (const engine of ordered.slice(0, count)) result.set(engine.name, { role, model, version, adapter })
    free = ordered.slice(count)
  })
}

/** Divides a number by weights, at least 1 to each where it is enough, by the largest remainder. */
function apportion (total: number, weights: number[]): number[] {
  const sum = weights.reduce((a, b) => a + b, 0)
  const shares = weights.map((weight) => total * weight / sum)
  const counts = shares.map((share) => Math.max(total >= weights.length ? 1 : 0, Math.floor(share)))
  const excess = (): number => counts.reduce((a, b) => a + b, 0) - total
  const pick = (sign: number): number => shares.map((share, i) => ({ i, gap: sign * (share - (counts[i] ?? 0)) }))
    .sort((a, b) => b.gap - a.gap)[0]?.i ?? 0
  while (excess() < 0) counts[pick(1)]! += 1
  while (excess() > 0) counts[pick(-1)]! -= 1
  return counts
}
