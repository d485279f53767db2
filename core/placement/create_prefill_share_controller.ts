/**
 * The control of the share of prefill engines by the measured load of the two roles, with hysteresis.
 */

/** Configures the controller of one model. */
export interface PrefillShareControllerOptions {
  /** Prefill share in the record of the model, from 0 to 1. */
  prefillShare: number
  /** Factor by which the use of one role must exceed that of the other before the share changes; 1.5 by default. */
  threshold?: number
  /** Time in milliseconds for which the use must exceed the threshold; 30000 by default. */
  holdMs?: number
  /** Change of the share in one step; 0.05 by default. */
  step?: number
  /** Largest difference between the share and that of the record; 0.2 by default. */
  range?: number
}

/** Adjusts the prefill share of one model. */
export interface PrefillShareController {
  /** Records the used shares of prefill and decode capacity, from 0 to 1, and returns the prefill share. */
  observe (prefillUse: number, decodeUse: number, nowMs: number): number
}

/**
 * Creates the controller of the prefill share of one model.
 *
 * The share changes by one step when the use of one role has exceeded that of the other by `threshold` for `holdMs`, and it stays
 * within `range` of the share in the record. This keeps engines from switching roles back and forth.
 *
 * @param options the share of the record and the limits
 * @returns the controller
 *
 * @example
 * ```ts
 * import { createPrefillShareController } from 'briarloom/core/placement'
 *
 * const controller = createPrefillShareController({ prefillShare: 0.4, holdMs: 1000 })
 * controller.observe(0.9, 0.3, 0)
 * console.assert(controller.observe(0.9, 0.3, 1000) > 0.4)
 * ```
 */
export function createPrefillShareController (options: PrefillShareControllerOptions): PrefillShareController {
  const { prefillShare, threshold = 1.5, holdMs = 30_000, step = 0.05, range = 0.2 } = options
  let share = prefillShare
  let lastDirection = 0
  let sinceMs = 0

  function observe (prefillUse: number, decodeUse: number, nowMs: number): number {
    const direction = prefillUse > decodeUse * threshold ? 1 : decodeUse > prefillUse * threshold ? -1 : 0
    if (direction !== lastDirection) {
      lastDirection = direction
      sinceMs = nowMs
    }
    if (direction !== 0 && nowMs - sinceMs >= holdMs) {
      const nextShare = share + direction * step
      share = Math.min(1, Math.max(0, prefillShare - range, Math.min(prefillShare + range, nextShare)))
      sinceMs = nowMs
    }
    return share
  }

  return { observe }
}
