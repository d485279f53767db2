/**
 * Works out the figures of a run from its answers and the entries' decisions.
 */

/** An answer; times are milliseconds since the fault. */
export interface MeasuredAnswer {
  atMs: number
  /** True when the whole answer came within the bound. */
  good: boolean
}

/** A routing decision of an entry. */
export interface RouteDecision {
  entry: string
  request: string
  /** Time in milliseconds since the fault. */
  atMs: number
  chosen: string
}

/** Median and range of the runs. */
export interface Spread {
  median: number
  min: number
  max: number
}

const goodShare = 0.95

/**
 * Returns the time in milliseconds after the fault from which every window of arrivals has at least 95% good answers;
 * the end of the last window when that does not come.
 */
export function computeRecoveryMs (answers: MeasuredAnswer[], windowMs: number, untilMs: number): number {
  let recovered = 0
  for (let fromMs = 0; fromMs + windowMs <= untilMs; fromMs += windowMs) {
    const inside = answers.filter(({ atMs }) => atMs >= fromMs && atMs < fromMs + windowMs)
    const good = inside.filter((answer) => answer.good).length
    if (good < inside.length * goodShare) recovered = fromMs + windowMs
  }
  return recovered
}

/** Returns each entry's last decision for a backend server after the fault in milliseconds; 0 when there is none. */
export function findLastDecisionsMs (decisions: RouteDecision[], backend: string, entries: string[]): number[] {
  return entries.map((entry) => {
    const mine = decisions.filter((one) => one.entry === entry && one.chosen === backend)
    return Math.max(0, ...mine.map(({ atMs }) => atMs))
  })
}

/** Returns when the last request that a backend server had was routed to another in milliseconds; 0 when none was. */
export function findLastReroutedMs (decisions: RouteDecision[], backend: string): number {
  const had = new Set<string>()
  let lastMs = 0
  for (const { request, chosen, atMs } of decisions) {
    if (chosen === backend) had.add(request)
    else if (had.delete(request) && atMs > 0) lastMs = Math.max(lastMs, atMs)
  }
  return lastMs
}

/** Returns the median and the range of figures. */
export function computeSpread (values: number[]): Spread {
  const sorted = [...values].sort((a, b) => a - b)
  const middle = (sorted.length - 1) / 2
  const median = ((sorted[Math.floor(middle)] ?? 0) + (sorted[Math.ceil(middle)] ?? 0)) / 2
  return { median: Math.round(median), min: Math.round(sorted[0] ?? 0), max: Math.round(sorted.at(-1) ?? 0) }
}
