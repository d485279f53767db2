/**
 * Divides a limit between entries by their demand.
 */

const floorShare = 0.02

/**
 * Returns the part of `limit` for an entry with demand `own` beside entries with demands `others`.
 *
 * Each entry keeps a small floor, so that an idle one can serve its first request. The rest goes out by max-min
 * fairness: no entry gets more than it demands while another gets less; what nobody demands is divided evenly. The
 * part grows with the own demand and shrinks with the others', and the parts of all entries add up to the limit.
 */
export function divideRate (limit: number, own: number, others: number[]): number {
  const count = others.length + 1
  const floor = floorShare * limit / count
  const rest = limit - floor * count
  return floor + fairPart(rest, own, others)
}

function fairPart (limit: number, own: number, others: number[]): number {
  const sorted = [...others].sort((a, b) => a - b)
  let left = limit
  let sharers = sorted.length + 1
  for (const demand of sorted) {
    if (demand >= left / sharers) break
    left -= demand
    sharers -= 1
  }
  const level = left / sharers
  if (own >= level) return level
  const total = others.reduce((sum, demand) => sum + demand, own)
  return total >= limit ? own : own + (limit - total) / (others.length + 1)
}

/** Describes the seats of one entry; the name orders entries so that all hand out a remainder alike. */
export interface SeatDemand {
  entry: string
  inUse: number
  waiting: number
}

/**
 * Returns the part of a whole number of seats for the first of the demands.
 *
 * Seats in use stay where they are. Free seats go to the entries where requests wait, by max-min fairness, and
 * what is left is divided evenly.
 */
export function divideSeats (limit: number, own: SeatDemand, others: SeatDemand[]): number {
  const all = [own, ...others].sort((a, b) => a.waiting - b.waiting || (a.entry < b.entry ? -1 : 1))
  let left = Math.max(0, limit - all.reduce((sum, demand) => sum + demand.inUse, 0))
  let sharers = all.length
  let part = 0
  for (const demand of all) {
    const given = Math.min(demand.waiting, Math.floor(left / sharers))
    if (demand === own) part = given
    left -= given
    sharers -= 1
  }
  const rank = all.filter((demand) => demand.entry < own.entry).length
  const extra = Math.floor(left / all.length) + (rank < left % all.length ? 1 : 0)
  return own.inUse + part + extra
}
