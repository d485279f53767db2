/**
 * Reads the counters of the engines and counts the decisions of the entries.
 */
import type { Deployment } from '../testing/deployment/mod.ts'

const names = [
  'prefills', 'prefilled_tokens', 'kv_bytes_exported', 'wasted_expired', 'wasted_cancelled', 'wasted_dropped', 'wasted_undecoded'
] as const

/** Totals over all engines. */
export type EngineTotals = { [K in typeof names[number]]: number }

/** Returns totals of zero. */
export function createZeroTotals (): EngineTotals {
  return Object.fromEntries(names.map((name) => [name, 0])) as EngineTotals
}

/** Reads the totals of one engine since its start. */
export async function readEngineTotals (deployment: Deployment, backend: string): Promise<EngineTotals> {
  const counters = await deployment.readControlPage(`backend/${backend}`, '/counters')
  return Object.fromEntries(names.map((name) => [name, Number(counters[name] ?? 0)])) as EngineTotals
}

/** Adds or, with a factor of -1, subtracts totals. */
export function addTotals (a: EngineTotals, b: EngineTotals, factor = 1): EngineTotals {
  return Object.fromEntries(names.map((name) => [name, a[name] + factor * b[name]])) as EngineTotals
}

/** Reads the totals over all engines. */
export async function readTotals (deployment: Deployment): Promise<EngineTotals> {
  let totals = createZeroTotals()
  for (const backend of deployment.layout.backends) {
    if (backend.role !== 'service') totals = addTotals(totals, await readEngineTotals(deployment, backend.name))
  }
  return totals
}

/** Where the parts of a request ran, by request. */
export interface Routes {
  /** Names of the chosen backend servers, in order. */
  chosen: Map<string, string[]>
  /** Number of decisions that sent work again. */
  retries: number
}

interface DecisionLine {
  decision?: { kind: string, request?: string, chosen?: string }
}

/** Reads the decisions that the entries logged about requests for which the test holds. */
export function readRoutes (deployment: Deployment, isMine: (request: string) => boolean): Routes {
  const routes: Routes = { chosen: new Map(), retries: 0 }
  for (const entry of deployment.layout.entries) {
    for (const line of deployment.getProcess(`entry/${entry.name}`).readLines()) {
      if (line.startsWith('{') && line.includes('"decision"')) addDecision(routes, JSON.parse(line) as DecisionLine, isMine)
    }
  }
  return routes
}

function addDecision (routes: Routes, line: DecisionLine, isMine: (request: string) => boolean): void {
  const { kind, request, chosen } = line.decision ?? {}
  if (request === undefined || chosen === undefined || !isMine(request)) return
  routes.chosen.set(request, [...routes.chosen.get(request) ?? [], chosen])
  if (kind === 'retry') routes.retries += 1
}
