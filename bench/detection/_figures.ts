/**
 * Computes the results of a run from its answers and the entries' routing decisions.
 */

/** Describes the answer to one request. */
export interface MeasuredAnswer {
  /** Time in milliseconds from the fault to the arrival of the request; negative before the fault. */
  atMs: number
  /** True when the whole answer arrived in time. */
  isGood: boolean
}

/** Describes one routing decision of an entry. */
export interface RouteDecision {
  entry: string
  request: string
  /** Time in milliseconds from the fault to the decision; negative before the fault. */
  atMs: number
  /** Name of the chosen backend server. */
  chosen: string
}

/** Median and range of one figure over several runs, rounded to whole numbers. */
export interface Spread {
  median: number
  min: number
  max: number
}

const minGoodShare = 0.95

/**
 * Computes the time in milliseconds after the fault from which at least 95% of the answers in every window are good.
 * Requests count in the window in which they arrive. Returns the end of the last window when that window has too few.
 */
export function computeRecoveryMs (answers: MeasuredAnswer[], windowMs: number, untilMs: number): number {
  let recoveredMs = 0
  for (let fromMs = 0; fromMs + windowMs <= untilMs; fromMs += windowMs) {
    const arrived = answers.filter(({ atMs }) => atMs >= fromMs && atMs < fromMs + windowMs)
    const goodCount = arrived.filter((answer) => answer.isGood).length
    if (goodCount < arrived.length * minGoodShare) recoveredMs = fromMs + windowMs
  }
  return recoveredMs
}

/**
 * Finds the last decision of each entry that chose a backend server.
 *
 * @returns milliseconds after the fault in the order of `entries`; 0 for an entry without such a decision after the fault
 */
export function findLastDecisionsMs (decisions: RouteDecision[], backend: string, entries: string[]): number[] {
  return entries.map((entry) => {
    const ownDecisions = decisions.filter((one) => one.entry === entry && one.chosen === backend)
    return Math.max(0, ...ownDecisions.map(({ atMs }) => atMs))
  })
}

/**
 * Finds when the last request that had been routed to a backend server was routed to another one.
 *
 * @returns milliseconds after the fault; 0 when no request was rerouted after it
 */
export function findLastReroutedMs (decisions: RouteDecision[], backend: string): number {
  const routedRequests = new Set<string>()
  let lastMs = 0
  for (const { request, chosen, atMs } of decisions) {
    if (chosen === backend) routedRequests.add(request)
    else if (routedRequests.delete(request) && atMs > 0) lastMs = Math.max(lastMs, atMs)
  }
  return lastMs
}

/** Computes the median and the range of some values, rounded to whole numbers; all 0 without values. */
export function computeSpread (values: number[]): Spread {
  const sorted = [...values].sort((a, b) => a - b)
  const middle = (sorted.length - 1) / 2
  const median = ((sorted[Math.floor(middle)] ?? 0) + (sorted[Math.ceil(middle)] ?? 0)) / 2
  return { median: Math.round(median), min: Math.round(sorted[0] ?? 0), max: Math.round(sorted.at(-1) ?? 0) }
}
