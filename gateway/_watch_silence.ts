/**
 * Watches the stream of an engine for silence, and seeks another engine while the silent one is still listened to.
 */
import { findSuccessor } from '../core/fleet/mod.ts'
import { createSilenceDetector } from '../core/stream/mod.ts'
import { Count } from '../metrics/mod.ts'
import { createSearchRequest } from './_create_search_request.ts'
import { releaseAttempt } from './_prepare_attempt.ts'
import type { Worker } from '../core/fleet/mod.ts'
import type { SearchRequest } from './_create_search_request.ts'
import type { PreparedAttempt } from './_prepare_attempt.ts'
import type { ClientRequest, GatewayContext } from './_types.ts'

/** Prepares an attempt at another engine; undefined when none is allowed or none can take the request. */
export type SeekReplacement = (search: ClientRequest) => Promise<PreparedAttempt | undefined>

/** Configures the watch of one stream. */
export interface SilenceWatchOptions {
  worker: Worker
  seek: SeekReplacement
  /** Called when another engine is ready to go on with the silent stream. */
  onReplaced (attempt: PreparedAttempt, detail: string): void
  /** Called when the engine certainly no longer runs the request. */
  onLost (detail: string): void
}

/** Watches one stream. */
export interface SilenceWatch {
  /** Records data; `hasEvent` is true when it completes an event. */
  onData (hasEvent: boolean): void
  /** Suspends the watch, while the client reads more slowly than the engine writes. */
  suspend (): void
  resume (): void
  /** Ends the watch of a stream that needs no other engine, and undoes a search for one. */
  end (): void
  /** Ends the watch of a stream that is lost; returns the result of the search that is under way, if there is one. */
  takeSearch (): Promise<PreparedAttempt | undefined> | undefined
}

/** A stream without data for this many times the longest pause of its route is silent; clients disconnect after eight times. */
const silenceFactor = 4
/** A stream that sends data but completes no event is silent after this many times the time without data. */
const partialEventFactor = 2
/** A check that comes later than this many periods shows that this process stood still. */
const lateCheckFactor = 2

interface Search extends SearchRequest {
  result: Promise<PreparedAttempt | undefined>
  /** True when its result is used elsewhere. */
  isTaken: boolean
}

/** Watches a stream that may resume at another engine. */
export function watchSilence (context: GatewayContext, request: ClientRequest, options: SilenceWatchOptions): SilenceWatch {
  const { timer, log, directory, sidecars, metrics } = context
  const { worker, seek, onReplaced, onLost } = options
  const { longestPauseMs } = request.route
  const dataTimeoutMs = silenceFactor * longestPauseMs
  const detector = createSilenceDetector({ startedMs: timer.now(), dataTimeoutMs, eventTimeoutMs: partialEventFactor * dataTimeoutMs })
  let silentSinceMs: number | undefined
  let search: Search | undefined
  let lastCheckMs = timer.now()

  function describePause (): string {
    const { dataMs, eventMs } = detector.pause(timer.now())
    return `no data for ${Math.round(dataMs)} ms, no event for ${Math.round(eventMs)} ms`
  }

  function check (): void {
    const nowMs = timer.now()
    const isLate = nowMs - lastCheckMs > lateCheckFactor * longestPauseMs
    lastCheckMs = nowMs
    // After a pause of this process, expired timers run before the data that has arrived meanwhile is read.
    if (isLate) return
    if (detector.pause(nowMs).dataMs >= longestPauseMs) {
      const successor = findSuccessor(directory.fleet.all().map(({ entry }) => entry), worker.entry)
      if (successor !== undefined) return onLost(`the engine started again as ${successor.id}, ${describePause()}`)
    }
    if (!detector.isSilent(nowMs)) return
    if (silentSinceMs === undefined) recordSilence(nowMs)
    if (search === undefined) startSearch()
  }

  function recordSilence (nowMs: number): void {
    silentSinceMs = nowMs
    metrics.count(Count.StreamsSilent, { service: request.service.name })
    const capacityAgeMs = worker.capacity === undefined ? undefined : Math.round(nowMs - worker.capacity.receivedAtMs)
    log.warn({
      request: request.requestId, worker: worker.entry.id, detail: describePause(), hasSidecar: sidecars.isConnected(worker), roomAgeMs: capacityAgeMs
    }, 'stream silent')
  }

  function startSearch (): void {
    const searchRequest = createSearchRequest(request)
    const started: Search = { ...searchRequest, result: seek(searchRequest.request), isTaken: false }
    search = started
    started.result.then((attempt) => finishSearch(started, attempt), (err) => {
      log.error({ requestId: request.requestId, err }, 'search for an engine failed')
      finishSearch(started, undefined)
    })
  }

  function finishSearch (finished: Search, attempt: PreparedAttempt | undefined): void {
    const isCurrent = search === finished
    if (isCurrent) search = undefined
    if (attempt === undefined || finished.isTaken) return
    if (isCurrent && detector.isSilent(timer.now()) && request.reply.canChangeWorker()) onReplaced(attempt, describePause())
    else releaseAttempt(context, request, attempt)
  }

  function cancelSearch (): void {
    const cancelled = search
    search = undefined
    if (cancelled?.isTaken === false) cancelled.cancel()
  }

  /** Ends a silence in which the stream has gone on by itself. */
  function recordWakeUp (): void {
    const nowMs = timer.now()
    if (silentSinceMs === undefined || detector.isSilent(nowMs)) return
    log.info({ request: request.requestId, worker: worker.entry.id, tookMs: Math.round(nowMs - silentSinceMs), wasSeeking: search !== undefined }, 'stream goes on')
    silentSinceMs = undefined
    cancelSearch()
  }

  const checkTimer = timer.every(longestPauseMs, check)

  return {
    onData (hasEvent) {
      detector.recordData(timer.now(), hasEvent)
      recordWakeUp()
    },
    suspend: () => detector.suspend(),
    resume: () => detector.resume(timer.now()),
    end () {
      checkTimer.cancel()
      cancelSearch()
    },
    takeSearch () {
      checkTimer.cancel()
      if (search !== undefined) search.isTaken = true
      return search?.result
    }
  }
}
