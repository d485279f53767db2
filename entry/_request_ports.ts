/**
 * Connects model requests to the router, the retry budget and the estimates of delays.
 */
import { createDelayEstimate } from '../core/routing/mod.ts'
import { Role, TierClass } from '../core/types/mod.ts'
import type { RequestPorts, RequestSpec } from '../core/request/mod.ts'
import type { RetryBudget } from '../core/retry/mod.ts'
import type { BackendQuery, Router } from '../core/routing/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { PrefixHashes } from './_prefix_hashes.ts'

/** Configures the ports of model requests: the functions that the state machine of a request calls. */
export interface RequestPortsOptions {
  timer: Timer
  router: Router
  retryBudget: RetryBudget
  hashPrefixes: (prompt: string) => PrefixHashes
  /** Returns the region of a backend server in this entry's subset; undefined for every other one. */
  regionOf: (agent: string) => string | undefined
}

/**
 * Creates a function that returns the ports of a request.
 */
export function createRequestPorts (options: RequestPortsOptions): (spec: RequestSpec) => RequestPorts {
  const { timer, router, retryBudget, hashPrefixes, regionOf } = options
  // One estimate for each tier class: free streams are sometimes paused, and their delays must not affect the estimate for paid ones.
  const handoffDelays = { [TierClass.Paid]: createDelayEstimate(), [TierClass.Free]: createDelayEstimate() }

  return (spec) => {
    const { model, version, tierClass } = spec
    const prefixHashes = hashPrefixes(spec.prompt)
    const buildQuery = (role: Role, promptTokens: number, exclude: string[], region?: string): BackendQuery => {
      return { role, model, version, promptTokens, ...prefixHashes, exclude, region }
    }
    return {
      chooseBackend (role, promptTokens, exclude, near) {
        const region = near === undefined ? undefined : regionOf(near)
        const chosen = router.choose(buildQuery(role, promptTokens, exclude, region), timer.now())
        if (chosen.ok && role === Role.Prefill) router.recordPrefixes(chosen.val.backend, prefixHashes.prefixes, timer.now())
        return chosen
      },
      consumeRetry: (nowMs) => retryBudget.take(nowMs),
      estimatePrefillMs: (backend, tokens) => backend === undefined
        ? router.estimateBestPrefillMs(buildQuery(Role.Prefill, tokens, []), tierClass, timer.now())
        : router.estimateFirstTokenMs(backend, tokens, tierClass, timer.now()),
      estimateHandoffMs: () => handoffDelays[tierClass].estimateMs(timer.now()),
      recordHandoffMs: (ms) => handoffDelays[tierClass].observe(ms, timer.now()),
      estimateReservationWaitMs: (tokens) => router.estimateReserveMs(buildQuery(Role.Decode, tokens, []), tierClass, timer.now())
    }
  }
}
