/**
 * Fencing numbers that increase across the incarnations of an agent, although the agent stores nothing.
 */

/** Options of a fence. */
export interface FenceOptions {
  /** Configuration revision in force at the agent. */
  revision: number
  /** Era of the revision: revisions go back when an era of the platform's store begins; 0 by default. */
  era?: number
  /** Highest fencing number that the engine reports; 0 when it reports none. */
  engineFence: number
  /** Incarnation of the agent, so that two incarnations choose different numbers; 0 by default. */
  incarnation?: number
}

/** Source of fencing numbers. */
export interface Fence {
  /** Returns the number for the next order, higher than every number observed so far. */
  next (): number
  /** Records the configuration revision and the fencing number that the engine reports. */
  observe (seen: { revision?: number, engineFence?: number }): void
}

// The low part of a number depends on the incarnation, because an engine refuses lower numbers but accepts equal ones.
const incarnationSlots = 1024
/** Most revisions of one era; the number stays a safe integer for 8,191 eras. */
const revisionsPerEra = 2 ** 30
const maxEra = 8_191

/**
 * Creates a source of fencing numbers.
 *
 * The high part of a number is above the era and the configuration revision and above the high part of every number that the engine
 * reported, so the engine refuses an agent with an older configuration or older engine state.
 *
 * @param options the configuration revision, the fencing number that the engine reports, and the agent's incarnation
 * @returns the source of fencing numbers
 *
 * @example
 * ```ts
 * import { createFence } from 'briarloom/core/fence'
 *
 * const first = createFence({ revision: 12, engineFence: 0, incarnation: 1 }).next()
 * const second = createFence({ revision: 12, engineFence: first, incarnation: 2 }).next()
 * console.assert(second > first)
 * ```
 */
export function createFence (options: FenceOptions): Fence {
  const lowPart = (options.incarnation ?? 0) % incarnationSlots
  let highPart = 0

  function observe (seen: { revision?: number, engineFence?: number }): void {
    const engineHighPart = Math.floor((seen.engineFence ?? 0) / incarnationSlots)
    highPart = Math.max(highPart, engineHighPart, seen.revision ?? 0)
  }

  const { era = 0, revision } = options
  observe({ ...options, revision: Math.min(era, maxEra) * revisionsPerEra + revision })
  return {
    next () {
      highPart++
      return highPart * incarnationSlots + lowPart
    },
    observe
  }
}
