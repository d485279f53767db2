/**
 * The limits of every caller at one entry.
 */
import { Err, Ok } from '../results/mod.ts'
import { RefusalCode } from '../types/mod.ts'
import { MessageKind } from '../../wire/mod.ts'
import { divideRate, divideSeats } from './_divide.ts'
import { createPeers } from './_peers.ts'
import { createParts } from './_parts.ts'
import { createUsage, isNothing, publish } from './_usage.ts'
import type { Result } from '../results/mod.ts'
import type { UsageShare } from '../../wire/mod.ts'
import type { CallerLimits, LimitRefusal, Limiter, LimiterOptions } from './_types.ts'
import type { Parts } from './_parts.ts'
import type { Usage } from './_usage.ts'

const unknownCallerRetryMs = 1000
const msPerS = 1000

interface Known {
  usage: Usage
  parts: Parts
  /** Version of the view from which the parts were last worked out. */
  version: number
}

/**
 * Creates the limits of one entry.
 *
 * Each limit is divided between the live entries by the demand that they tell each other. A part falls at once
 * and rises only after two further periods, so the parts don't add up to more than the limit while messages arrive
 * within half of `sharePeriodMs`. An entry that is alive but not heard keeps an equal
 * part `limit / entries`.
 *
 * With `n` entries, a limit `L` per second is exceeded over `t` seconds by at most
 * - `L * burstMs / 1000`, and `n` requests, at any time;
 * - `L * shareStaleMs / 1000`, once, when entries lose each other: until then each side counts with the other's
 *   last demand;
 * - `L * k / n * d`, when `k` entries are new and the others learn the new count after `d` seconds.
 *
 * A concurrency limit lower than `n` is exceeded by at most `n` minus the limit while no entry hears another, because
 * each then serves one request.
 *
 * @param options the name of the entry, the limits of the callers, and the times of the exchange
 * @returns the limits
 *
 * @example
 * ```ts
 * import { createLimits } from 'briarloom/core/limits'
 *
 * const limits = createLimits({
 *   entry: 'e1', incarnation: 1, limitOf: () => ({ requestsPerS: 10, tokensPerS: 1000, concurrency: 1 })
 * })
 * console.assert(limits.admit('notaires', 50, 0).ok)
 * console.assert(limits.admit('notaires', 50, 0).err)
 * limits.release('notaires')
 * console.assert(limits.admit('notaires', 50, 0).ok)
 * ```
 */
export function createLimiter (options: LimiterOptions): Limiter {
  const { entry, incarnation, getLimits: limitOf } = options
  const sharePeriodMs = options.sharePeriodMs ?? 200
  const burstS = (options.burstMs ?? 500) / msPerS
  const peers = createPeers(options.shareTtlMs ?? 1000)
  const callers = new Map<string, Known>()
  let liveCount = 1
  let version = 0
  let seq = 0
  let lastShareMs: number | undefined

  // The share of the limit that the entries which hear each other divide; the rest belongs to those not heard.
  function heardShare (): number {
    const heard = peers.count() + 1
    return heard / Math.max(heard, liveCount)
  }

  function workOut (caller: string, limit: CallerLimits, usage: Usage): CallerLimits {
    const heard = heardShare()
    const { published } = usage
    const seats = limit.concurrency === 0 ? 0 : Math.max(1, Math.floor(limit.concurrency * heard))
    const own = { entry, inUse: published.concurrency, waiting: published.waiting }
    return {
      requestsPerS: divideRate(limit.requestsPerS * heard, published.requests, peers.rates(caller, 'requests')),
      tokensPerS: divideRate(limit.tokensPerS * heard, published.tokens, peers.rates(caller, 'tokens')),
      concurrency: divideSeats(seats, own, peers.seats(caller))
    }
  }

  function knownOf (caller: string): Known {
    const known = callers.get(caller)
    if (known !== undefined) return known
    const created = { usage: createUsage(), parts: createParts(), version: -1 }
    callers.set(caller, created)
    return created
  }

  function partOf (caller: string, limit: CallerLimits, known: Known): CallerLimits {
    if (known.version !== version) {
      known.parts.lower(workOut(caller, limit, known.usage))
      known.version = version
    }
    return known.parts.inForce() ?? limit
  }

  function refuse (retryAfterMs: number): Result<void, LimitRefusal> {
    return Err({ code: RefusalCode.LimitExceeded, retryAfterMs })
  }

  function admit (caller: string, tokens: number, nowMs: number): Result<void, LimitRefusal> {
    const limit = limitOf(caller)
    if (limit === undefined) return refuse(unknownCallerRetryMs)
    const known = knownOf(caller)
    const { usage } = known
    const part = partOf(caller, limit, known)
    usage.offeredRequests += 1
    usage.offeredTokens += tokens
    usage.requests.refill(part.requestsPerS, Math.max(1, part.requestsPerS * burstS), nowMs)
    usage.tokens.refill(part.tokensPerS, Math.max(1, part.tokensPerS * burstS), nowMs)
    if (usage.inFlight >= part.concurrency) {
      usage.refused += 1
      return refuse(sharePeriodMs)
    }
    if (!usage.requests.has(1)) return refuse(usage.requests.waitMs(1, part.requestsPerS))
    if (!usage.tokens.has(1)) return refuse(usage.tokens.waitMs(1, part.tokensPerS))
    usage.requests.spend(1)
    usage.tokens.spend(tokens)
    usage.inFlight += 1
    return Ok(undefined)
  }

  function beginPeriod (caller: string, known: Known): void {
    const limit = limitOf(caller)
    const gone = limit === undefined && known.usage.inFlight === 0
    if (gone) callers.delete(caller)
    if (limit === undefined) return
    known.parts.begin(workOut(caller, limit, known.usage))
    known.version = version
  }

  function share (nowMs: number): UsageShare {
    const elapsedMs = nowMs - (lastShareMs ?? nowMs - sharePeriodMs)
    lastShareMs = nowMs
    peers.dropStale(nowMs)
    version += 1
    seq += 1
    const usage: UsageShare['usage'] = []
    for (const [caller, known] of callers) {
      const demand = publish(known.usage, elapsedMs)
      if (!isNothing(demand)) usage.push({ caller, ...demand })
      beginPeriod(caller, known)
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
    createUsageShare: share,
    onUsageShare (msg, nowMs) {
      if (msg.entry !== entry && peers.observe(msg, nowMs)) version += 1
    },
    setEntryCount (count) {
      if (count === liveCount) return
      liveCount = Math.max(1, count)
      version += 1
    }
  }
}
