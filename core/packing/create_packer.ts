/**
 * The admission of streams to the memory of one engine.
 */
import { PackPolicy } from './_types.ts'
import { estimateRemainingTokens } from './estimate_remaining_tokens.ts'
import { predictPeak } from './predict_peak.ts'
import type { StreamMemory, PackRequest, RunningStream } from './_types.ts'

/** Configures a packer. */
export interface PackerOptions {
  policy: PackPolicy
  /** Share of the memory that stays free for streams that grow more than predicted. */
  marginShare: number
  /** Time in milliseconds that an admitted stream may take to begin, and one that the engine has put back to go on. */
  startMs: number
}

/** Admits streams to one engine. */
export interface Packer {
  /** Takes the memory of the engine and the most tokens that one event carries. */
  setCapacity (memoryTokens: number, tokensPerEvent: number): void
  /** Takes the runs that the engine reports. */
  observe (runs: readonly RunningStream[], nowMs: number): void
  /** Admits a stream when the predicted peak fits; an admitted one counts until it has run or is dropped. */
  admit (ask: PackRequest, nowMs: number): boolean
  releaseUnstarted (requestId: string): void
  /** Takes the news that a stream has ended; `whole` when the engine has made all of it. */
  recordEnd (requestId: string, whole: boolean): void
  /** Returns the memory in tokens that the predicted peak leaves free. */
  freeTokens (nowMs: number): number
}

interface Booking extends PackRequest {
  predictedTokens: number
  /** Time in milliseconds at which it is forgotten unless it runs; undefined while it runs. */
  expiresMs?: number
  run?: RunningStream
}

/** Share of the memory that a stream of unknown size is taken to make: an engine holds about twenty requests. */
const unknownShare = 0.05
/** Weight of the newest whole stream in the typical output; some twenty streams shape it. */
const newestShare = 0.05
/** Number of whole streams from which on their typical output is used. */
const leastLearned = 5
/** Spread of the logarithm of the output about its prediction: that of an estimate and a typical size which spread by 0.5 each. */
const spreads: { readonly [K in PackPolicy]: number } = { [PackPolicy.Full]: 0, [PackPolicy.Likely]: 0.35 }
/** The same while only the estimate is known. */
const firstSpreads: { readonly [K in PackPolicy]: number } = { [PackPolicy.Full]: 0, [PackPolicy.Likely]: 0.5 }

type Predict = (ask: PackRequest, typicalTokens: number | undefined) => number

const predictions: { readonly [K in PackPolicy]: Predict } = {
  [PackPolicy.Full]: (ask) => ask.maxTokens,
  [PackPolicy.Likely]: (ask, typicalTokens) => {
    const { likelyTokens, maxTokens } = ask
    // An estimate that is off by a factor and a typical size that is: their geometric mean is off by less than either.
    if (likelyTokens !== undefined && typicalTokens !== undefined) return Math.sqrt(likelyTokens * typicalTokens)
    return likelyTokens ?? typicalTokens ?? maxTokens
  }
}

/**
 * Creates the packer of an engine without memory; it admits nothing before `size` is called.
 *
 * @param options policy, margin and times in milliseconds
 * @returns the packer
 *
 * @example
 * ```ts
 * import { createPacker, PackPolicy } from 'briarloom/core/packing'
 *
 * const packer = createPacker({ policy: PackPolicy.Full, marginShare: 0, startMs: 2000 })
 * packer.size(1000, 10)
 * console.assert(packer.admit({ requestId: 'a', promptTokens: 500, maxTokens: 400 }, 0))
 * console.assert(!packer.admit({ requestId: 'b', promptTokens: 500, maxTokens: 400 }, 0))
 * ```
 */
export function createPacker (options: PackerOptions): Packer {
  const { policy, marginShare, startMs } = options
  const bookings = new Map<string, Booking>()
  let memoryTokens = 0
  let tokensPerEvent = 1
  /** Mean logarithm of the output of whole streams, and how many it is of. */
  let meanLog = 0
  let learned = 0

  function typicalTokens (): number | undefined {
    return learned < leastLearned ? undefined : Math.exp(meanLog)
  }

  function predict (ask: PackRequest): number {
    return Math.min(ask.maxTokens, Math.max(tokensPerEvent, predictions[policy](ask, typicalTokens())))
  }

  function growth (booking: Booking): StreamMemory {
    const { promptTokens, predictedTokens, maxTokens, run } = booking
    const made = (run?.events ?? 0) * tokensPerEvent
    const spread = (learned < leastLearned ? firstSpreads : spreads)[policy]
    const left = spread === 0 ? predictedTokens - made : estimateRemainingTokens(predictedTokens, spread, made)
    const usedTokens = Math.max(run?.tokensInMemory ?? 0, promptTokens)
    return { usedTokens, remainingTokens: Math.max(0, Math.min(left, maxTokens - made)) }
  }

  function expire (nowMs: number): void {
    for (const [id, booking] of bookings) {
      if (booking.expiresMs !== undefined && booking.expiresMs <= nowMs) bookings.delete(id)
    }
  }

  function learn (run: RunningStream): void {
    learned++
    meanLog += Math.max(newestShare, 1 / learned) * (Math.log(Math.max(1, run.events) * tokensPerEvent) - meanLog)
  }

  function capacity (): number { return memoryTokens * (1 - marginShare) }

  return {
    setCapacity (memory, perEvent) {
      memoryTokens = memory
      tokensPerEvent = perEvent
    },
    observe (runs, nowMs) {
      expire(nowMs)
      const seen = new Set<string>()
      for (const run of runs) {
        seen.add(run.requestId)
        const known = bookings.get(run.requestId)
        const made = run.events * tokensPerEvent
        const unknown = { requestId: run.requestId, promptTokens: Math.max(0, run.tokensInMemory - made), maxTokens: Infinity }
        const ask = known ?? { ...unknown, predictedTokens: typicalTokens() ?? unknownShare * memoryTokens }
        const { expiresMs: _started, ...booking } = ask as Booking
        bookings.set(run.requestId, { ...booking, run })
      }
      for (const [id, booking] of bookings) {
        if (booking.run === undefined || seen.has(id) || booking.expiresMs !== undefined) continue
        // The engine may have put it back, and it will need its memory again; whoever forwards it tells of its end.
        if (booking.maxTokens === Infinity) bookings.delete(id)
        else booking.expiresMs = nowMs + startMs
      }
    },
    admit (ask, nowMs) {
      expire(nowMs)
      const booking = { ...ask, predictedTokens: predict(ask), expiresMs: nowMs + startMs }
      const others = [...bookings.values()].filter((other) => other.requestId !== ask.requestId)
      if (predictPeak([...others, booking].map(growth)) > capacity()) return false
      bookings.set(ask.requestId, booking)
      return true
    },
    releaseUnstarted (requestId) {
      if (bookings.get(requestId)?.run === undefined) bookings.delete(requestId)
    },
    recordEnd (requestId, whole) {
      const run = bookings.get(requestId)?.run
      if (whole && run !== undefined) learn(run)
      bookings.delete(requestId)
    },
    freeTokens (nowMs) {
      expire(nowMs)
      return capacity() - predictPeak([...bookings.values()].map(growth))
    }
  }
}
