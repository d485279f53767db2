/**
 * Admission of streams to the memory of one engine.
 */
import { PackPolicy } from './_types.ts'
import { estimateRemainingTokens } from './estimate_remaining_tokens.ts'
import { predictPeak } from './predict_peak.ts'
import type { StreamMemory, PackRequest, RunningStream } from './_types.ts'

/** Configures a packer. */
export interface PackerOptions {
  policy: PackPolicy
  /** Share of the memory, from 0 to 1, that stays free for streams whose output exceeds the prediction. */
  marginShare: number
  /** Time in milliseconds within which an admitted stream must start and a preempted one must resume; then its memory is released. */
  startMs: number
}

/** Admits streams to one engine. */
export interface Packer {
  /** Sets the memory of the engine and the maximum number of tokens in one output event. */
  setCapacity (memoryTokens: number, tokensPerEvent: number): void
  /** Updates the running streams from a report of the engine. */
  observe (streams: readonly RunningStream[], nowMs: number): void
  /**
   * Reserves memory for a stream; false when the predicted peak exceeds the usable memory.
   *
   * The reservation lasts until the stream has ended, is released, or has not started or resumed in time.
   */
  admit (request: PackRequest, nowMs: number): boolean
  /** Releases the reservation of a stream that has not started; a running stream keeps its own. */
  releaseUnstarted (requestId: string): void
  /** Releases the memory of a stream that has ended; `isComplete` is true when the engine generated the whole output. */
  recordEnd (requestId: string, isComplete: boolean): void
  /** Forgets all streams, because the engine has started again. */
  clear (): void
  /** Returns the usable memory in tokens beyond the predicted peak; negative when the peak exceeds it. */
  freeTokens (nowMs: number): number
}

interface Reservation extends PackRequest {
  predictedTokens: number
  /** Time in milliseconds at which the reservation expires; undefined while the stream runs. */
  expiresMs?: number
  running?: RunningStream
}

/** Output assumed for a stream of unknown length, as a share of the memory; an engine holds about twenty requests. */
const unknownOutputShare = 0.05
/** Weight of the newest complete stream in the moving average of outputs, which covers about the last twenty. */
const newestWeight = 0.05
/** Number of complete streams below which their average output is not used. */
const minCompletedStreams = 5
/**
 * Standard deviation of the logarithm of the output around its prediction: 0.5 / √2, since the prediction is the geometric mean of
 * the client's estimate and the average output, which deviate by 0.5 each.
 */
const logDeviations: { readonly [K in PackPolicy]: number } = { [PackPolicy.Full]: 0, [PackPolicy.Likely]: 0.35 }
/** Standard deviation while there is no average output and only the client's estimate is known. */
const initialLogDeviations: { readonly [K in PackPolicy]: number } = { [PackPolicy.Full]: 0, [PackPolicy.Likely]: 0.5 }

type PredictTokens = (request: PackRequest, averageTokens: number | undefined) => number

const predictors: { readonly [K in PackPolicy]: PredictTokens } = {
  [PackPolicy.Full]: (request) => request.maxTokens,
  [PackPolicy.Likely]: (request, averageTokens) => {
    const { likelyTokens, maxTokens } = request
    // Each of the two is wrong by some factor; their geometric mean is wrong by a smaller factor than either.
    if (likelyTokens !== undefined && averageTokens !== undefined) return Math.sqrt(likelyTokens * averageTokens)
    return likelyTokens ?? averageTokens ?? maxTokens
  }
}

/**
 * Creates the packer of one engine. It admits nothing until `setCapacity` is called.
 *
 * @param options the policy, the margin as a share of the memory, and the start timeout in milliseconds
 * @returns the packer
 *
 * @example
 * ```ts
 * import { createPacker, PackPolicy } from 'briarloom/core/packing'
 *
 * const packer = createPacker({ policy: PackPolicy.Full, marginShare: 0, startMs: 2000 })
 * packer.setCapacity(1000, 10)
 * console.assert(packer.admit({ requestId: 'a', promptTokens: 500, maxTokens: 400 }, 0))
 * console.assert(!packer.admit({ requestId: 'b', promptTokens: 500, maxTokens: 400 }, 0))
 * ```
 */
export function createPacker (options: PackerOptions): Packer {
  const { policy, marginShare, startMs } = options
  const reservations = new Map<string, Reservation>()
  let memoryTokens = 0
  let tokensPerEvent = 1
  /** Moving average of the logarithm of the output of complete streams, and the number of those streams. */
  let meanLogTokens = 0
  let completedStreams = 0

  /** Returns the geometric mean of the output of complete streams in tokens; undefined while there are too few of them. */
  function computeAverageTokens (): number | undefined {
    return completedStreams < minCompletedStreams ? undefined : Math.exp(meanLogTokens)
  }

  function predictOutput (request: PackRequest): number {
    return Math.min(request.maxTokens, Math.max(tokensPerEvent, predictors[policy](request, computeAverageTokens())))
  }

  function predictMemory (reservation: Reservation): StreamMemory {
    const { promptTokens, predictedTokens, maxTokens, running } = reservation
    const generatedTokens = (running?.events ?? 0) * tokensPerEvent
    const logDeviation = (completedStreams < minCompletedStreams ? initialLogDeviations : logDeviations)[policy]
    const remainingTokens = logDeviation === 0
      ? predictedTokens - generatedTokens
      : estimateRemainingTokens(predictedTokens, logDeviation, generatedTokens)
    const usedTokens = Math.max(running?.tokensInMemory ?? 0, promptTokens)
    return { usedTokens, remainingTokens: Math.max(0, Math.min(remainingTokens, maxTokens - generatedTokens)) }
  }

  function removeExpired (nowMs: number): void {
    for (const [id, reservation] of reservations) {
      if (reservation.expiresMs !== undefined && reservation.expiresMs <= nowMs) reservations.delete(id)
    }
  }

  function recordOutput (running: RunningStream): void {
    completedStreams++
    meanLogTokens += Math.max(newestWeight, 1 / completedStreams) * (Math.log(Math.max(1, running.events) * tokensPerEvent) - meanLogTokens)
  }

  function computeUsableTokens (): number { return memoryTokens * (1 - marginShare) }

  return {
    setCapacity (memory, perEvent) {
      memoryTokens = memory
      tokensPerEvent = perEvent
    },
    observe (streams, nowMs) {
      removeExpired(nowMs)
      const seen = new Set<string>()
      for (const running of streams) {
        seen.add(running.requestId)
        const known = reservations.get(running.requestId)
        const generatedTokens = running.events * tokensPerEvent
        const unadmitted = {
          requestId: running.requestId, promptTokens: Math.max(0, running.tokensInMemory - generatedTokens), maxTokens: Infinity
        }
        const request = known ?? { ...unadmitted, predictedTokens: computeAverageTokens() ?? unknownOutputShare * memoryTokens }
        const { expiresMs: _expiresMs, ...reservation } = request as Reservation
        reservations.set(running.requestId, { ...reservation, running })
      }
      for (const [id, reservation] of reservations) {
        if (reservation.running === undefined || seen.has(id) || reservation.expiresMs !== undefined) continue
        // The engine may have preempted the stream, which needs its memory again when it resumes. The process that forwards an admitted
        // stream reports its end; nobody reports the end of a stream that was not admitted here.
        if (reservation.maxTokens === Infinity) reservations.delete(id)
        else reservation.expiresMs = nowMs + startMs
      }
    },
    admit (request, nowMs) {
      removeExpired(nowMs)
      const reservation = { ...request, predictedTokens: predictOutput(request), expiresMs: nowMs + startMs }
      const others = [...reservations.values()].filter((other) => other.requestId !== request.requestId)
      if (predictPeak([...others, reservation].map(predictMemory)) > computeUsableTokens()) return false
      reservations.set(request.requestId, reservation)
      return true
    },
    releaseUnstarted (requestId) {
      if (reservations.get(requestId)?.running === undefined) reservations.delete(requestId)
    },
    recordEnd (requestId, isComplete) {
      const running = reservations.get(requestId)?.running
      if (isComplete && running !== undefined) recordOutput(running)
      reservations.delete(requestId)
    },
    clear () { reservations.clear() },
    freeTokens (nowMs) {
      removeExpired(nowMs)
      return computeUsableTokens() - predictPeak([...reservations.values()].map(predictMemory))
    }
  }
}
