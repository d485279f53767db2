/**
 * The bounds on repeated sends of a gateway, one for each service.
 */
import { createSharedRetryBudget } from '../core/retry/mod.ts'
import { Count } from '../metrics/mod.ts'
import type { SharedRetryBudget } from '../core/retry/mod.ts'
import type { PrometheusMetrics } from '../metrics/mod.ts'
import type { NodeSettings } from '../platform/mod.ts'

/** Configures the bounds. */
export interface RetryBudgetsOptions {
  settings: Pick<NodeSettings, 'retryRatio' | 'retrySlack' | 'retryWindowMs'>
  metrics: PrometheusMetrics
  /** Returns the number of gateways that share the bounds. */
  memberCount: () => number
  /** Time in milliseconds at which the process started. */
  startedAtMs: number
}

/** Returns a function that returns the bound of a service, and counts the repeated sends that it does not allow. */
export function createRetryBudgets ({ settings, metrics, memberCount, startedAtMs }: RetryBudgetsOptions): (service: string) => SharedRetryBudget {
  const { retryRatio: ratio, retrySlack: slack, retryWindowMs: windowMs } = settings
  const budgets = new Map<string, SharedRetryBudget>()
  return (service) => {
    const found = budgets.get(service)
    if (found !== undefined) return found
    const budget = createSharedRetryBudget({ ratio, slack, windowMs, memberCount, startedAtMs })
    const countedBudget: SharedRetryBudget = {
      ...budget,
      take (nowMs) {
        const granted = budget.take(nowMs)
        if (!granted) metrics.count(Count.RetriesDenied, { service })
        return granted
      }
    }
    budgets.set(service, countedBudget)
    return countedBudget
  }
}
