/**
 * Allocation of a limit to entries by max-min fairness.
 */

/** Share of a limit that is divided evenly, so that an idle entry can admit its first request. */
const reservedShare = 0.02

/**
 * Returns the allocation of a rate limit to an entry with demand `own`, when the other entries have the demands `others`.
 *
 * Each entry gets an equal part of a small reserved share. The rest is allocated by max-min fairness: no entry gets more than
 * its demand while another gets less, and what exceeds all demands is divided evenly. The allocation grows with the entry's
 * own demand and shrinks with the demand of others, and the allocations of all entries add up to the limit.
 */
export function allocateRate (limit: number, own: number, others: number[]): number {
  const count = others.length + 1
  const floor = reservedShare * limit / count
  const rest = limit - floor * count
  return floor + allocateFairly(rest, own, others)
}

function allocateFairly (limit: number, own: number, others: number[]): number {
  const sorted = [...others].sort((a, b) => a - b)
  let remaining = limit
  let remainingEntries = sorted.length + 1
  for (const demand of sorted) {
    if (demand >= remaining / remainingEntries) break
    remaining -= demand
    remainingEntries -= 1
  }
  const fairShare = remaining / remainingEntries
  if (own >= fairShare) return fairShare
  const total = others.reduce((sum, demand) => sum + demand, own)
  return total >= limit ? own : own + (limit - total) / (others.length + 1)
}

/** Demand for seats at one entry; entries are ordered by name, so that all of them divide a remainder in the same way. */
export interface SeatDemand {
  entry: string
  /** Requests in flight. */
  inUse: number
  /** Requests that wait for a seat. */
  waiting: number
}

/**
 * Returns the number of seats, of `limit` in all, that are allocated to the entry with demand `own`.
 *
 * Each entry keeps the seats in use. Free seats are allocated to waiting requests by max-min fairness, and the remaining
 * ones are divided evenly.
 */
export function allocateSeats (limit: number, own: SeatDemand, others: SeatDemand[]): number {
  const all = [own, ...others].sort((a, b) => a.waiting - b.waiting || (a.entry < b.entry ? -1 : 1))
  let remaining = Math.max(0, limit - all.reduce((sum, demand) => sum + demand.inUse, 0))
  let remainingEntries = all.length
  let granted = 0
  for (const demand of all) {
    const grant = Math.min(demand.waiting, Math.floor(remaining / remainingEntries))
    if (demand === own) granted = grant
    remaining -= grant
    remainingEntries -= 1
  }
  const rank = all.filter((demand) => demand.entry < own.entry).length
  const extra = Math.floor(remaining / all.length) + (rank < remaining % all.length ? 1 : 0)
  return own.inUse + granted + extra
}
