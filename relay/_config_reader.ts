/**
 * The part of a relay that reads the configuration service, within its share of the read budget.
 */
import type { ConfigurationPage } from '../core/configuration/mod.ts'
import type { ConfigService, PlatformError } from '../source/mod.ts'
import type { Subscription, Timer } from '../timer/mod.ts'

/** Bounds on reads; times in milliseconds. */
export interface ReadBounds {
  /** Time that a watch waits for a change. */
  watchMs: number
  /** Least time between two watches of a reader. */
  minWatchIntervalMs: number
  /** Longest time between two watches of a reader while the service fails. */
  maxWatchBackoffMs: number
  /** Time over which the first direct read of a process that is not a reader is spread. */
  directReadSpreadMs: number
  /** Longest spread of direct reads. */
  maxDirectReadSpreadMs: number
}

/** Configures the reads of a relay. */
export interface ConfigReaderOptions {
  timer: Timer
  service: ConfigService
  bounds: ReadBounds
  /** Returns a number from 0 up to 1. */
  random: () => number
  /** Returns the revision above which changes are wanted. */
  revision: () => number
  onPage: (page: ConfigurationPage) => void
  onError: (err: PlatformError) => void
}

/** Reads the configuration service. */
export interface ConfigReader {
  /** Starts or ends the watch of a reader. */
  setWatching (isWatching: boolean): void
  /** Says whether relays fail this process, so that it has to read for itself; call it about once a second. */
  setDirectReading (isNeedy: boolean): void
  readCounts (): { reads: number, failedReads: number }
  close (): void
}

const firstBackoffMs = 500
const limitedBackoffMs = 5_000

/** Creates the reads of a relay. */
export function createConfigReader (options: ConfigReaderOptions): ConfigReader {
  const { timer, service, bounds, random } = options
  let closed = false
  let watching = false
  let inFlight = false
  let next: Subscription | undefined
  let backoffMs = firstBackoffMs
  let directAtMs: number | undefined
  let spreadMs = bounds.directReadSpreadMs
  let reads = 0
  let failedReads = 0

  /** Reads once; resolves to whether the service answered with something that is not older than what is known. */
  async function read (waitMs: number): Promise<boolean> {
    inFlight = true
    reads++
    const after = options.revision()
    const result = await (after === 0 ? service.readAll() : service.watch(after, waitMs))
    inFlight = false
    if (closed) return false
    if (result.err) {
      failedReads++
      if (result.val.limited) backoffMs = Math.max(backoffMs, limitedBackoffMs)
      options.onError(result.val)
      return false
    }
    options.onPage({ ...result.val, after, complete: after === 0 })
    return result.val.revision >= after
  }

  function scheduleWatch (delayMs: number): void {
    next?.cancel()
    next = timer.after(delayMs, () => { runWatch() })
  }

  async function runWatch (): Promise<void> {
    if (!watching || inFlight || closed) return
    const isFresh = await read(bounds.watchMs)
    if (!watching || closed) return
    if (isFresh) {
      backoffMs = firstBackoffMs
      scheduleWatch(bounds.minWatchIntervalMs)
      return
    }
    // Full jitter keeps readers apart that failed at the same moment.
    scheduleWatch(bounds.minWatchIntervalMs + random() * backoffMs)
    backoffMs = Math.min(bounds.maxWatchBackoffMs, backoffMs * 2)
  }

  async function readDirectly (): Promise<void> {
    const isFresh = await read(0)
    spreadMs = isFresh ? bounds.directReadSpreadMs : Math.min(bounds.maxDirectReadSpreadMs, spreadMs * 2)
    directAtMs = timer.now() + spreadMs * (0.5 + random())
  }

  return {
    setWatching (isWatching) {
      if (isWatching === watching) return
      watching = isWatching
      if (isWatching) scheduleWatch(random() * bounds.minWatchIntervalMs)
      else next?.cancel()
    },
    setDirectReading (isNeedy) {
      if (!isNeedy || watching) {
        directAtMs = undefined
        spreadMs = bounds.directReadSpreadMs
        return
      }
      directAtMs ??= timer.now() + random() * spreadMs
      if (timer.now() >= directAtMs && !inFlight) readDirectly()
    },
    readCounts: () => ({ reads, failedReads }),
    close () {
      closed = true
      next?.cancel()
    }
  }
}
