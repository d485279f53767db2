/**
 * The share of prefill engines that follows the measured balance of load, with hysteresis.
 */

/** Configures the balance of roles for one model. */
export interface PrefillShareControllerOptions {
  /** Share of prefill in the record, from 0 to 1. */
  prefillShare: number
  /** Factor by which one role must be busier than the other before the share moves; 1.5 by default. */
  threshold?: number
  /** Time in milliseconds for which it must be so; 30000 by default. */
  holdMs?: number
  /** Change of the share in one step; 0.05 by default. */
  step?: number
  /** Farthest distance of the share from the record's; 0.2 by default. */
  range?: number
}

/** Follows the load of one model. */
export interface PrefillShareController {
  /** Takes in the shares of prefill and decode capacity in use, from 0 to 1, and returns the share of prefill. */
  observe (prefillUse: number, decodeUse: number, nowMs: number): number
}

/**
 * Creates the share of prefill engines of one model.
 *
 * The share moves by one step when one role has been busier than the other by a factor for long enough, and never farther
 * from the record's share than a bound, so that engines do not change their role back and forth.
 *
 * @param options the share of the record and the bounds
 * @returns the balance
 *
 * @example
 * ```ts
 * import { createRoleBalance } from 'briarloom/core/placement'
 *
 * const balance = createRoleBalance({ prefillShare: 0.4, holdMs: 1000 })
 * balance.observe(0.9, 0.3, 0)
 * console.assert(balance.observe(0.9, 0.3, 1000) > 0.4)
 * ```
 */
export function createPrefillShareController (options: PrefillShareControllerOptions): PrefillShareController {
  const { prefillShare, threshold = 1.5, holdMs = 30_000, step = 0.05, range = 0.2 } = options
  let share = prefillShare
  let leaning = 0
  let sinceMs = 0

  function observe (prefillUse: number, decodeUse: number, nowMs: number): number {
    const direction = prefillUse > decodeUse * threshold ? 1 : decodeUse > prefillUse * threshold ? -1 : 0
    if (direction !== leaning) {
      leaning = direction
      sinceMs = nowMs
    }
    if (direction !== 0 && nowMs - sinceMs >= holdMs) {
      const moved = share + direction * step
      share = Math.min(1, Math.max(0, prefillShare - range, Math.min(prefillShare + range, moved)))
      sinceMs = nowMs
    }
    return share
  }

  return { observe }
}
