/**
 * Reads of the configuration service by one relay, at a bounded rate. A reader watches the service for changes; any other
 * process reads it directly, and only while its peers are silent or out of date.
 */
import type { ConfigurationPage } from '../core/configuration/mod.ts'
import type { ConfigService, PlatformError } from '../source/mod.ts'
import type { Subscription, Timer } from '../timer/mod.ts'

/** Bounds the rate of reads; times are in milliseconds. */
export interface ReadBounds {
  /** Longest time that a watch waits for a change. */
  watchMs: number
  /** Shortest time between two watches of a reader. */
  minWatchIntervalMs: number
  /** Longest backoff, added to the time between two watches, while the service fails or is stale. */
  maxWatchBackoffMs: number
  /** Interval over which the direct reads of all processes spread; doubles with each read that fails or is stale. */
  directReadSpreadMs: number
  /** Longest interval over which direct reads spread. */
  maxDirectReadSpreadMs: number
}

/** Configures the reads of the configuration service. */
export interface ConfigReaderOptions {
  timer: Timer
  service: ConfigService
  bounds: ReadBounds
  /** Returns a random number from 0 up to, but not including, 1. */
  random: () => number
  /** Returns the revision above which changes are requested; at 0, all records are read. */
  revision: () => number
  onPage: (page: ConfigurationPage) => void
  onError: (err: PlatformError) => void
}

/** Reads the configuration service. */
export interface ConfigReader {
  /** Starts or stops watching the service. */
  setWatching (shouldWatch: boolean): void
  /**
   * Allows or stops direct reads, and starts one when it is due; has no effect while watching. It must be called
   * periodically, because direct reads start only within a call.
   */
  setDirectReading (shouldReadDirectly: boolean): void
  /** Returns the numbers of reads and of failed reads so far. */
  readCounts (): { reads: number, failedReads: number }
  close (): void
}

const initialBackoffMs = 500

/** Shortest backoff after the service refused a read because of its rate limit. */
const minRateLimitedBackoffMs = 5_000

/** Creates a reader of the configuration service; it reads nothing before `setWatching` or `setDirectReading`. */
export function createConfigReader (options: ConfigReaderOptions): ConfigReader {
  const { timer, service, bounds, random } = options
  let isClosed = false
  let isWatching = false
  let isReading = false
  let nextWatch: Subscription | undefined
  let backoffMs = initialBackoffMs
  let nextDirectReadMs: number | undefined
  let directReadSpreadMs = bounds.directReadSpreadMs
  let reads = 0
  let failedReads = 0

  /** Reads once; resolves to false when the read failed or returned a revision below the known one. */
  async function read (waitMs: number): Promise<boolean> {
    isReading = true
    reads++
    const after = options.revision()
    const result = await (after === 0 ? service.readAll() : service.watch(after, waitMs))
    isReading = false
    if (isClosed) return false
    if (result.err) {
      failedReads++
      if (result.val.limited) backoffMs = Math.max(backoffMs, minRateLimitedBackoffMs)
      options.onError(result.val)
      return false
    }
    options.onPage({ ...result.val, after, complete: after === 0 })
    return result.val.revision >= after
  }

  function scheduleWatch (delayMs: number): void {
    nextWatch?.cancel()
    nextWatch = timer.after(delayMs, () => { runWatch() })
  }

  async function runWatch (): Promise<void> {
    if (!isWatching || isReading || isClosed) return
    const isFresh = await read(bounds.watchMs)
    if (!isWatching || isClosed) return
    if (isFresh) {
      backoffMs = initialBackoffMs
      scheduleWatch(bounds.minWatchIntervalMs)
      return
    }
    // Full jitter spreads the retries of readers that failed at the same time.
    scheduleWatch(bounds.minWatchIntervalMs + random() * backoffMs)
    backoffMs = Math.min(bounds.maxWatchBackoffMs, backoffMs * 2)
  }

  async function readDirectly (): Promise<void> {
    const isFresh = await read(0)
    directReadSpreadMs = isFresh ? bounds.directReadSpreadMs : Math.min(bounds.maxDirectReadSpreadMs, directReadSpreadMs * 2)
    nextDirectReadMs = timer.now() + directReadSpreadMs * (0.5 + random())
  }

  return {
    setWatching (shouldWatch) {
      if (shouldWatch === isWatching) return
      isWatching = shouldWatch
      if (shouldWatch) scheduleWatch(random() * bounds.minWatchIntervalMs)
      else nextWatch?.cancel()
    },
    setDirectReading (shouldReadDirectly) {
      if (!shouldReadDirectly || isWatching) {
        nextDirectReadMs = undefined
        directReadSpreadMs = bounds.directReadSpreadMs
        return
      }
      nextDirectReadMs ??= timer.now() + random() * directReadSpreadMs
      if (timer.now() >= nextDirectReadMs && !isReading) readDirectly()
    },
    readCounts: () => ({ reads, failedReads }),
    close () {
      isClosed = true
      nextWatch?.cancel()
    }
  }
}
