/**
 * The parts of a caller's limits that are in force at this entry.
 */
import type { CallerLimits } from './_types.ts'

const periods = 3

/** Holds the lowest parts of the last periods. */
export interface Parts {
  /** Takes in the parts worked out from what is known now. */
  lower (part: CallerLimits): void
  /** Begins a new period with the parts worked out from what is known now. */
  begin (part: CallerLimits): void
  /** Returns the parts in force; undefined before any were worked out. */
  inForce (): CallerLimits | undefined
}

function lowest (a: CallerLimits, b: CallerLimits): CallerLimits {
  return {
    requestsPerS: Math.min(a.requestsPerS, b.requestsPerS),
    tokensPerS: Math.min(a.tokensPerS, b.tokensPerS),
    concurrency: Math.min(a.concurrency, b.concurrency)
  }
}

/**
 * Creates parts that fall at once and rise only after some periods. In that time every other entry hears the messages
 * that speak for the rise and lowers its own part.
 */
export function createParts (): Parts {
  let lows: CallerLimits[] = []
  let force: CallerLimits | undefined

  function update (): void {
    force = lows.length === 0 ? undefined : lows.reduce(lowest)
  }

  return {
    lower (part) {
      const [last, ...rest] = lows
      lows = last === undefined ? [part] : [lowest(last, part), ...rest]
      update()
    },
    begin (part) {
      lows = [part, ...lows].slice(0, periods)
      update()
    },
    inForce: () => force
  }
}
