/**
 * The limiter of one entry.
 */
import { Err, Ok } from '../results/mod.ts'
import { RefusalCode } from '../types/mod.ts'
import { MessageKind } from '../../wire/mod.ts'
import { allocateRate, allocateSeats } from './_allocate.ts'
import { createPeerDemands } from './_peer_demands.ts'
import { createAllocationWindow } from './_allocation_window.ts'
import { createCallerUsage, isZeroDemand, closePeriod } from './_usage.ts'
import type { Result } from '../results/mod.ts'
import type { UsageShare } from '../../wire/mod.ts'
import type { CallerLimits, LimitRefusal, Limiter, LimiterOptions } from './_types.ts'
import type { AllocationWindow } from './_allocation_window.ts'
import type { CallerUsage } from './_usage.ts'

const unknownCallerRetryMs = 1000
const msPerS = 1000

interface CallerState {
  usage: CallerUsage
  allocations: AllocationWindow
  /** Value of `demandVersion` for which the allocation was last computed. */
  allocatedVersion: number
}

/**
 * Creates the limiter of one entry.
 *
 * Each limit is allocated to the live entries by the demand that they report to each other. An allocation falls at once and
 * rises only after two further periods, so the allocations don't add up to more than the limit as long as messages arrive
 * within half of `sharePeriodMs`. An entry that is live but sends no messages keeps an equal allocation `limit / entries`.
 *
 * With `n` entries, a limit `L` per second is exceeded over `t` seconds by at most
 * - `L * burstMs / 1000`, and `n` requests, at any time;
 * - `L * shareTtlMs / 1000`, once, when entries lose their connections: until then each side uses the last demand of
 *   the other;
 * - `L * k / n * d`, when `k` entries are new and the others receive the new count after `d` seconds.
 *
 * A concurrency limit lower than `n` is exceeded by at most `n` minus the limit while no entry receives messages, because
 * each entry then admits one request.
 *
 * @param options the name of the entry, the limits of the callers, and the times of the usage messages in milliseconds
 * @returns the limiter
 *
 * @example
 * ```ts
 * import { createLimiter } from 'briarloom/core/limits'
 *
 * const limiter = createLimiter({
 *   entry: 'e1', incarnation: 1, getLimits: () => ({ requestsPerS: 10, tokensPerS: 1000, concurrency: 1 })
 * })
 * console.assert(limiter.admit('notaires', 50, 0).ok)
 * console.assert(limiter.admit('notaires', 50, 0).err)
 * limiter.release('notaires')
 * console.assert(limiter.admit('notaires', 50, 0).ok)
 * ```
 */
export function createLimiter (options: LimiterOptions): Limiter {
  const { entry, incarnation, getLimits } = options
  const sharePeriodMs = options.sharePeriodMs ?? 200
  const burstS = (options.burstMs ?? 500) / msPerS
  const peers = createPeerDemands(options.shareTtlMs ?? 1000)
  const callers = new Map<string, CallerState>()
  let liveEntries = 1
  let demandVersion = 0
  let seq = 0
  let lastShareMs: number | undefined

  // Share of each limit that is allocated to this entry and those with a current message; the rest is for the other live entries.
  function getReachableShare (): number {
    const reachable = peers.count() + 1
    return reachable / Math.max(reachable, liveEntries)
  }

  function computeAllocation (caller: string, limit: CallerLimits, usage: CallerUsage): CallerLimits {
    const reachableShare = getReachableShare()
    const { published } = usage
    const seats = limit.concurrency === 0 ? 0 : Math.max(1, Math.floor(limit.concurrency * reachableShare))
    const own = { entry, inUse: published.concurrency, waiting: published.waiting }
    return {
      requestsPerS: allocateRate(limit.requestsPerS * reachableShare, published.requests, peers.listRates(caller, 'requests')),
      tokensPerS: allocateRate(limit.tokensPerS * reachableShare, published.tokens, peers.listRates(caller, 'tokens')),
      concurrency: allocateSeats(seats, own, peers.listSeats(caller))
    }
  }

  function getOrCreateState (caller: string): CallerState {
    const state = callers.get(caller)
    if (state !== undefined) return state
    const created = { usage: createCallerUsage(), allocations: createAllocationWindow(), allocatedVersion: -1 }
    callers.set(caller, created)
    return created
  }

  function getAllocation (caller: string, limit: CallerLimits, state: CallerState): CallerLimits {
    if (state.allocatedVersion !== demandVersion) {
      state.allocations.lowerCurrent(computeAllocation(caller, limit, state.usage))
      state.allocatedVersion = demandVersion
    }
    return state.allocations.getEffective() ?? limit
  }

  function refuse (retryAfterMs: number): Result<void, LimitRefusal> {
    return Err({ code: RefusalCode.LimitExceeded, retryAfterMs })
  }

  function admit (caller: string, tokens: number, nowMs: number): Result<void, LimitRefusal> {
    const limit = getLimits(caller)
    if (limit === undefined) return refuse(unknownCallerRetryMs)
    const state = getOrCreateState(caller)
    const { usage } = state
    const allocation = getAllocation(caller, limit, state)
    usage.offeredRequests += 1
    usage.offeredTokens += tokens
    usage.requests.refill(allocation.requestsPerS, Math.max(1, allocation.requestsPerS * burstS), nowMs)
    usage.tokens.refill(allocation.tokensPerS, Math.max(1, allocation.tokensPerS * burstS), nowMs)
    if (usage.inFlight >= allocation.concurrency) {
      usage.refusedForConcurrency += 1
      return refuse(sharePeriodMs)
    }
    if (!usage.requests.canSpend(1)) return refuse(usage.requests.getWaitMs(1, allocation.requestsPerS))
    if (!usage.tokens.canSpend(1)) return refuse(usage.tokens.getWaitMs(1, allocation.tokensPerS))
    usage.requests.spend(1)
    usage.tokens.spend(tokens)
    usage.inFlight += 1
    return Ok(undefined)
  }

  function beginPeriod (caller: string, state: CallerState): void {
    const limit = getLimits(caller)
    const isRemoved = limit === undefined && state.usage.inFlight === 0
    if (isRemoved) callers.delete(caller)
    if (limit === undefined) return
    state.allocations.beginPeriod(computeAllocation(caller, limit, state.usage))
    state.allocatedVersion = demandVersion
  }

  function createUsageShare (nowMs: number): UsageShare {
    const elapsedMs = nowMs - (lastShareMs ?? nowMs - sharePeriodMs)
    lastShareMs = nowMs
    peers.removeExpired(nowMs)
    demandVersion += 1
    seq += 1
    const usage: UsageShare['usage'] = []
    for (const [caller, state] of callers) {
      const demand = closePeriod(state.usage, elapsedMs)
      if (!isZeroDemand(demand)) usage.push({ caller, ...demand })
      beginPeriod(caller, state)
    }
    return { kind: MessageKind.UsageShare, entry, incarnation, seq, usage }
  }

  return {
    admit,
    settleTokens (caller, admittedTokens, usedTokens) {
      callers.get(caller)?.usage.tokens.spend(usedTokens - admittedTokens)
    },
    release (caller) {
      const usage = callers.get(caller)?.usage
      if (usage !== undefined) usage.inFlight = Math.max(0, usage.inFlight - 1)
    },
    createUsageShare,
    onUsageShare (msg, nowMs) {
      if (msg.entry !== entry && peers.record(msg, nowMs)) demandVersion += 1
    },
    setEntryCount (count) {
      if (count === liveEntries) return
      liveEntries = Math.max(1, count)
      demandVersion += 1
    }
  }
}
