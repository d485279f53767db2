/**
 * Reads the counters of the engine stand-ins and the routing decisions in the logs of the entries.
 */
import type { Deployment } from '../testing/deployment/mod.ts'

/** Counters that are read, as the stand-ins name them. */
const counterNames = [
  'prefills', 'prefilled_tokens', 'kv_bytes_exported', 'wasted_expired', 'wasted_cancelled', 'wasted_dropped', 'wasted_undecoded'
] as const

/** Counts of prefills, tokens and bytes, of one engine or the sum of several. */
export type EngineTotals = { [K in typeof counterNames[number]]: number }

/** Creates totals of zero. */
export function createZeroTotals (): EngineTotals {
  return Object.fromEntries(counterNames.map((name) => [name, 0])) as EngineTotals
}

/** Reads what one engine has counted since its start; a missing counter reads as 0. */
export async function readEngineTotals (deployment: Deployment, backend: string): Promise<EngineTotals> {
  const counters = await deployment.readControlPage(`backend/${backend}`, '/counters')
  return Object.fromEntries(counterNames.map((name) => [name, Number(counters[name] ?? 0)])) as EngineTotals
}

/** Returns `a + factor * b` for each counter; a factor of -1 subtracts. */
export function addTotals (a: EngineTotals, b: EngineTotals, factor = 1): EngineTotals {
  return Object.fromEntries(counterNames.map((name) => [name, a[name] + factor * b[name]])) as EngineTotals
}

/** Reads the sum of the counters of all engines, without plain services. */
export async function readTotals (deployment: Deployment): Promise<EngineTotals> {
  let totals = createZeroTotals()
  for (const backend of deployment.layout.backends) {
    if (backend.role !== 'service') totals = addTotals(totals, await readEngineTotals(deployment, backend.name))
  }
  return totals
}

/** Describes where requests were routed. */
export interface Routes {
  /** Names of the chosen backend servers in the order of the decisions, by request id. */
  chosen: Map<string, string[]>
  /** Number of retry decisions. */
  retries: number
}

interface DecisionLine {
  decision?: { kind: string, request?: string, chosen?: string }
}

/** Reads the decisions that the entries logged about the requests for which `isIncluded` returns true. */
export function readRoutes (deployment: Deployment, isIncluded: (request: string) => boolean): Routes {
  const routes: Routes = { chosen: new Map(), retries: 0 }
  for (const entry of deployment.layout.entries) {
    for (const line of deployment.getProcess(`entry/${entry.name}`).readLines()) {
      if (line.startsWith('{') && line.includes('"decision"')) addDecision(routes, JSON.parse(line) as DecisionLine, isIncluded)
    }
  }
  return routes
}

function addDecision (routes: Routes, line: DecisionLine, isIncluded: (request: string) => boolean): void {
  const { kind, request, chosen } = line.decision ?? {}
  if (request === undefined || chosen === undefined || !isIncluded(request)) return
  routes.chosen.set(request, [...routes.chosen.get(request) ?? [], chosen])
  if (kind === 'retry') routes.retries += 1
}
