/**
 * Holds back prompts that crash engines, by what this gateway and others have observed.
 */
import { createQuarantine, EvidenceKind } from '../core/quarantine/mod.ts'
import { Count } from '../metrics/mod.ts'
import type { PromptEvidence, QuarantineMatch } from '../core/quarantine/mod.ts'
import type { Worker } from '../core/fleet/mod.ts'
import type { Directory } from '../directory/mod.ts'
import type { Log } from '../log/mod.ts'
import type { PrometheusMetrics } from '../metrics/mod.ts'
import type { Timer } from '../timer/mod.ts'

/** Configures a prompt guard. */
export interface PromptGuardOptions {
  directory: Directory
  timer: Timer
  log: Log
  metrics: PrometheusMetrics
  /** Sends evidence to up to `count` sidecars, which pass on what is new to all gateways. */
  sendEvidence (evidence: PromptEvidence, count: number): void
}

/** Observes the streams of engines, and holds back prompts that are likely to crash the next engine. Parts are the shared parts of a prompt. */
export interface PromptGuard {
  /** Returns the quarantine that holds back a prompt; undefined when none does. */
  find (parts: readonly string[]): QuarantineMatch | undefined
  /** Returns the number of quarantines in force. */
  quarantines (): number
  /** Records that an engine has answered a prompt, or is well into its answer. */
  recordSurvival (parts: readonly string[]): void
  /** Records that a stream broke just after its engine had begun to answer. */
  recordCrash (worker: Worker, parts: readonly string[]): void
  /**
   * Records that a stream ended in a way that a crash may have caused; it counts as a crash when the engine turns out to be gone. With
   * `isWhole`, nothing else speaks against the stream, and it counts as answered when the engine turns out to have stayed.
   */
  recordPossibleCrash (worker: Worker, parts: readonly string[], options: { isWhole: boolean }): void
  /** Records that a worker cannot be reached. */
  recordUnreachable (worker: Worker): void
  /** Adds what another gateway has observed. */
  merge (evidence: PromptEvidence): void
  close (): void
}

/** Number of sidecars that new evidence is sent to, so that it arrives although some of them are cut off. */
const newsSidecars = 3
const newsPeriodMs = 200
/** Interval in milliseconds at which one sidecar, chosen at random, is sent all evidence: sidecars that restart or were cut off learn it again. */
const snapshotPeriodMs = 2_000
/** Time in milliseconds within which a crashed engine is found to be gone: three heartbeats without an entry, and a margin. */
const confirmWithinMs = 6_000
/** Largest age in milliseconds of the known workers at which an engine that is not gone has stayed. */
const maxViewAgeMs = 1_000
/** Largest number of ends that wait for the confirmation of a crash: those of some hundred streams a second. */
const maxPossibleCrashes = 2_048

interface PossibleCrash {
  worker: Worker
  parts: readonly string[]
  isWhole: boolean
  atMs: number
}

/** Creates the prompt guard of a gateway. */
export function createPromptGuard (options: PromptGuardOptions): PromptGuard {
  const { directory, timer, log, metrics, sendEvidence } = options
  const onDropped = (kind: EvidenceKind, count: number): void => { metrics.count(Count.EvidenceDropped, { kind }, count) }
  const quarantine = createQuarantine({ onDropped })
  let possibleCrashes: PossibleCrash[] = []
  let loggedKeys = new Set<string>()

  function identify (worker: Worker): string {
    return `${worker.entry.id}/${worker.entry.bornMs}`
  }

  function isGone (worker: Worker): boolean {
    const known = directory.fleet.get(worker.entry.id)
    return known === undefined || known.entry.bornMs !== worker.entry.bornMs
  }

  function sendNews (): void {
    const news = quarantine.takeNews(timer.now())
    if (news !== undefined) sendEvidence(news, newsSidecars)
  }

  function logChanges (): void {
    const matches = quarantine.list(timer.now())
    const keys = new Set(matches.map(({ parts }) => parts.join(' ')))
    for (const { parts, remainingMs } of matches) {
      if (loggedKeys.has(parts.join(' '))) continue
      log.warn({ parts: parts.join(' '), remainingMs: Math.round(remainingMs) }, 'prompt quarantined')
    }
    for (const parts of loggedKeys) if (!keys.has(parts)) log.info({ parts }, 'quarantine ended')
    loggedKeys = keys
  }

  function recordCrash (worker: Worker, parts: readonly string[]): void {
    if (!quarantine.recordCrash(identify(worker), parts, timer.now())) return
    metrics.count(Count.EngineCrashes, { service: worker.entry.service })
    log.warn({ worker: worker.entry.id, parts: parts.join(' ') }, 'engine crashed under a prompt')
    sendNews()
    logChanges()
  }

  /** Turns ends into crashes when their engine is gone, and whole ones into answers when it has stayed. */
  function confirm (hasCrashed: (worker: Worker) => boolean): void {
    if (possibleCrashes.length === 0) return
    const nowMs = timer.now()
    const crashed: PossibleCrash[] = []
    const expired: PossibleCrash[] = []
    const waiting: PossibleCrash[] = []
    for (const possible of possibleCrashes) {
      const list = hasCrashed(possible.worker) ? crashed : nowMs - possible.atMs >= confirmWithinMs ? expired : waiting
      list.push(possible)
    }
    possibleCrashes = waiting
    // The answers come first: what they clear is not suspected of the crashes.
    if (directory.ageMs() <= maxViewAgeMs) for (const { parts, isWhole } of expired) if (isWhole) quarantine.recordSurvival(parts, nowMs)
    for (const { worker, parts } of crashed) recordCrash(worker, parts)
  }

  const newsTimer = timer.every(newsPeriodMs, () => {
    confirm(isGone)
    sendNews()
    logChanges()
  })
  const snapshotTimer = timer.every(snapshotPeriodMs, () => {
    const snapshot = quarantine.snapshot(timer.now())
    if (snapshot !== undefined) sendEvidence(snapshot, 1)
  })

  return {
    find: (parts) => quarantine.find(parts, timer.now()),
    quarantines: () => quarantine.list(timer.now()).length,
    recordSurvival (parts) { quarantine.recordSurvival(parts, timer.now()) },
    recordCrash (worker, parts) {
      recordCrash(worker, parts)
      confirm((other) => identify(other) === identify(worker))
    },
    recordPossibleCrash (worker, parts, { isWhole }) {
      possibleCrashes.push({ worker, parts, isWhole, atMs: timer.now() })
      if (possibleCrashes.length <= maxPossibleCrashes) return
      possibleCrashes.shift()
      onDropped(EvidenceKind.EarlyEnd, 1)
    },
    recordUnreachable (worker) { confirm((other) => identify(other) === identify(worker)) },
    merge (evidence) {
      quarantine.merge(evidence, timer.now())
      logChanges()
    },
    close () {
      newsTimer.cancel()
      snapshotTimer.cancel()
    }
  }
}
