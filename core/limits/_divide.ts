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

/** Names a demand, so that all entries hand out a remainder in the same order. */
export interface NamedDemand {
  entry: string
  demand: number
}

/**
 * Returns the part of a whole number of seats for the first of the demands, by the rule of `divideRate` in whole
 * numbers.
 */
export function divideSeats (limit: number, own: NamedDemand, others: NamedDemand[]): number {
  const all = [own, ...others].sort((a, b) => a.demand - b.demand || (a.entry < b.entry ? -1 : 1))
  const parts = new Map<string, number>()
  let left = limit
  let sharers = all.length
  for (const { entry, demand } of all) {
    const part = Math.min(demand, Math.floor(left / sharers))
    parts.set(entry, part)
    left -= part
    sharers -= 1
  }
  const spare = left
  const rank = all.map((named) => named.entry).sort().indexOf(own.entry)
  const extra = Math.floor(spare / all.length) + (rank < spare % all.length ? 1 : 0)
  return (parts.get(own.entry) ?? 0) + extra
}
