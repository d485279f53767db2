/**
 * The allocation of a caller's limits to this entry, as the minimum over the last periods.
 */
import type { CallerLimits } from './_types.ts'

/** An allocation rises after two periods beyond the one in which it was computed. */
const windowPeriods = 3

/** The allocations of the last periods. */
export interface AllocationWindow {
  /** Lowers the allocation of the current period to a newly computed one; a higher one has no effect. */
  lowerCurrent (allocation: CallerLimits): void
  /** Begins a new period with a newly computed allocation. */
  beginPeriod (allocation: CallerLimits): void
  /** Returns the minimum over the window; undefined before the first allocation. */
  getEffective (): CallerLimits | undefined
}

function getMinimum (a: CallerLimits, b: CallerLimits): CallerLimits {
  return {
    requestsPerS: Math.min(a.requestsPerS, b.requestsPerS),
    tokensPerS: Math.min(a.tokensPerS, b.tokensPerS),
    concurrency: Math.min(a.concurrency, b.concurrency)
  }
}

/**
 * Creates an empty window. The effective allocation falls at once and rises only after some periods. During these periods
 * every other entry receives the messages that justify the rise and lowers its own allocation.
 */
export function createAllocationWindow (): AllocationWindow {
  let minimums: CallerLimits[] = []
  let effective: CallerLimits | undefined

  function update (): void {
    effective = minimums.length === 0 ? undefined : minimums.reduce(getMinimum)
  }

  return {
    lowerCurrent (allocation) {
      const [current, ...rest] = minimums
      minimums = current === undefined ? [allocation] : [getMinimum(current, allocation), ...rest]
      update()
    },
    beginPeriod (allocation) {
      minimums = [allocation, ...minimums].slice(0, windowPeriods)
      update()
    },
    getEffective: () => effective
  }
}
