/**
 * What a model request asks of the router, the retry budget and the learned delays.
 */
import { createDelayEstimate } from '../core/routing/mod.ts'
import { Role, TierClass } from '../core/types/mod.ts'
import type { RequestPorts, RequestSpec } from '../core/request/mod.ts'
import type { RetryBudget } from '../core/retry/mod.ts'
import type { BackendQuery, Router } from '../core/routing/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { PrefixHashes } from './_prefix_hashes.ts'

/** Configures the ports of model requests. */
export interface RequestPortsOptions {
  timer: Timer
  router: Router
  retries: RetryBudget
  hashPrefixes: (prompt: string) => PrefixHashes
  /** Returns the region of a backend server that this entry talks with. */
  regionOf: (agent: string) => string | undefined
}

/**
 * Creates the function that gives each request its ports.
 */
export function createRequestPorts (options: RequestPortsOptions): (spec: RequestSpec) => RequestPorts {
  const { timer, router, retries, hashPrefixes, regionOf } = options
  // Free streams are paused at times, which says nothing about paid ones.
  const handoffs = { [TierClass.Paid]: createDelayEstimate(), [TierClass.Free]: createDelayEstimate() }

  return (spec) => {
    const { model, version, tierClass } = spec
    const beginnings = hashPrefixes(spec.prompt)
    const wanted = (role: Role, promptTokens: number, exclude: string[], region?: string): BackendQuery => {
      return { role, model, version, promptTokens, ...beginnings, exclude, region }
    }
    return {
      chooseBackend (role, promptTokens, exclude, near) {
        const region = near === undefined ? undefined : regionOf(near)
        const chosen = router.choose(wanted(role, promptTokens, exclude, region), timer.now())
        if (chosen.ok && role === Role.Prefill) router.recordPrefixes(chosen.val.backend, beginnings.prefixes, timer.now())
        return chosen
      },
      consumeRetry: (nowMs) => retries.take(nowMs),
      estimatePrefillMs: (backend, tokens) => backend === undefined
        ? router.estimateBestPrefillMs(wanted(Role.Prefill, tokens, []), tierClass, timer.now())
        : router.estimateFirstTokenMs(backend, tokens, tierClass, timer.now()),
      estimateHandoffMs: () => handoffs[tierClass].estimateMs(timer.now()),
      recordHandoffMs: (ms) => handoffs[tierClass].observe(ms, timer.now()),
      estimateReservationWaitMs: (tokens) => router.estimateReserveMs(wanted(Role.Decode, tokens, []), tierClass, timer.now())
    }
  }
}
