/**
 * Fencing numbers that grow across the incarnations of an agent that stores nothing.
 */

/** Configures a fence. */
export interface FenceOptions {
  /** Configuration revision in force at the agent. */
  revision: number
  /** Highest fencing number that the engine reports; 0 when it tracks none. */
  engineFence: number
  /** Incarnation of the agent; keeps two incarnations from choosing the same number. */
  incarnation?: number
}

/** Hands out fencing numbers. */
export interface Fence {
  /** Returns the number for the next order, above every number seen so far. */
  next (): number
  /** Takes note of the configuration revision and of the number that the engine reports. */
  observe (seen: { revision?: number, engineFence?: number }): void
}

// An engine refuses lower numbers but accepts equal ones, so the low part differs between incarnations.
const incarnationSlots = 1024

/**
 * Creates a source of fencing numbers.
 *
 * A number's high part is above the configuration revision and above the high part of every number that the engine reported,
 * so an agent with an older configuration or an older view of the engine is refused.
 *
 * @param options the configuration revision, the number that the engine reports, and the agent's incarnation
 * @returns the source
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
  const slot = (options.incarnation ?? 0) % incarnationSlots
  let floor = 0

  function observe (seen: { revision?: number, engineFence?: number }): void {
    const engineFloor = Math.floor((seen.engineFence ?? 0) / incarnationSlots)
    floor = Math.max(floor, engineFloor, seen.revision ?? 0)
  }

  observe(options)
  return {
    next () {
      floor++
      return floor * incarnationSlots + slot
    },
    observe
  }
}
