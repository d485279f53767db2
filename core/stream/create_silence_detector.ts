/**
 * Tells a stream whose source has fallen silent from one that goes on.
 */

/** Configures a detector; times in milliseconds. */
export interface SilenceDetectorOptions {
  /** Time at which the stream was requested. */
  startedMs: number
  /** Time without data after which a stream is silent. */
  dataTimeoutMs: number
  /** Time without a complete event after which a stream is silent although it sends data. */
  eventTimeoutMs: number
}

/** Times in milliseconds since the newest data and the newest complete event of a stream. */
export interface StreamPause {
  dataMs: number
  eventMs: number
}

/** Detects the silence of one stream. */
export interface SilenceDetector {
  /** Records data; `hasEvent` is true when it completes an event. */
  recordData (nowMs: number, hasEvent: boolean): void
  /** Suspends the detection, while the receiver reads more slowly than the source writes. */
  suspend (): void
  /** Goes on with the detection, as if an event had just arrived. */
  resume (nowMs: number): void
  /** Returns the times since the newest data and event; 0 while the detection is suspended. */
  pause (nowMs: number): StreamPause
  /** Tells whether the stream is silent. That does not tell whether its source still runs. */
  isSilent (nowMs: number): boolean
}

/**
 * Creates the detector of one stream.
 *
 * @param options the start and the timeouts in milliseconds
 * @returns the detector
 *
 * @example
 * ```ts
 * import { createSilenceDetector } from 'briarloom/core/stream'
 *
 * const detector = createSilenceDetector({ startedMs: 0, dataTimeoutMs: 1200, eventTimeoutMs: 2400 })
 * detector.recordData(500, true)
 * console.assert(!detector.isSilent(1600) && detector.isSilent(1700))
 * ```
 */
export function createSilenceDetector (options: SilenceDetectorOptions): SilenceDetector {
  const { startedMs, dataTimeoutMs, eventTimeoutMs } = options
  let lastDataMs = startedMs
  let lastEventMs = startedMs
  let isSuspended = false

  function pause (nowMs: number): StreamPause {
    return isSuspended ? { dataMs: 0, eventMs: 0 } : { dataMs: nowMs - lastDataMs, eventMs: nowMs - lastEventMs }
  }

  return {
    recordData (nowMs, hasEvent) {
      lastDataMs = nowMs
      if (hasEvent) lastEventMs = nowMs
    },
    suspend () { isSuspended = true },
    resume (nowMs) {
      isSuspended = false
      lastDataMs = nowMs
      lastEventMs = nowMs
    },
    pause,
    isSilent (nowMs) {
      const { dataMs, eventMs } = pause(nowMs)
      return dataMs >= dataTimeoutMs || eventMs >= eventTimeoutMs
    }
  }
}
