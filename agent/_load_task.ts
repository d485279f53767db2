/**
 * Polls the load and the state of the engine and publishes them to the entries.
 */
import { TierClass } from '../core/types/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import type { EngineAdapter, EngineState } from '../engine/mod.ts'
import type { ReservationTable } from '../core/reservation/mod.ts'
import type { LoadReport } from '../wire/mod.ts'
import type { TaskPorts } from './_types.ts'

/** Configures the load task. */
export interface LoadTaskOptions {
  backend: string
  engine: EngineAdapter
  table: ReservationTable
  seats: number
  pieces: number
  heartbeatMs: number
  /** Returns the number of reservations that wait for admission. */
  countQueued: () => number
  /** Returns the number of prompt tokens that the engine computes before new work of a tier class. */
  countTokensAhead: (tierClass: TierClass) => number
  /** Estimates the time in milliseconds that a new reservation of paid work waits. */
  estimateReserveWaitMs: () => number
  publish: (report: LoadReport) => void
  /** Sequence number of the first report; grows with every start of the process. */
  incarnation: number
  /** Returns the number of processes that receive each report. */
  countListeners: () => number
}

/** Follows the load of the engine. */
export interface LoadTask {
  /** Returns the engine's last known state; undefined before the first one and after 10 failed polls in a row. */
  state (): EngineState | undefined
  /** Replaces the last known state by one that another task has read. */
  setState (state: EngineState): void
  /** Converts a number of tokens to engine memory in pieces, rounded up. */
  toPieces (tokens: number): number
  /** Estimates the time in milliseconds that the prefill of a number of prompt tokens takes. */
  estimatePrefillMs (tokens: number): number
  /** Updates that estimate from a prefill of `tokens` uncached tokens that the engine computed in `tookMs` milliseconds. */
  observePrefill (tokens: number, tookMs: number): void
  /** Sends a report now. */
  publish (): void
  close (): void
}

const pollMs = 100

/** Load reports per second that one agent sends to all receivers together, while its role and readiness stay the same. */
const reportsPerS = 20

/** Heartbeat periods between two reports at most, so that entries can still detect a lost agent by its silence. */
const maxSpacingHeartbeats = 2
/** Shortest time in milliseconds between two reads of the engine's state. */
const statePeriodMs = 500
const defaultTokensPerPiece = 16
const defaultMsPerToken = 0.05
/** Factor by which the weight of earlier prefills falls with each new one. */
const speedDecay = 0.95
/** Weight of the default speed at the start, in tokens. */
const initialTokens = 2000
/** Failed polls in a row after which the engine's state counts as unknown. */
const maxFailedPolls = 10
/** Largest number of prefixes in a report; the latest ones are kept. */
const maxPrefixes = 64

/**
 * Creates the load task.
 */
export function createLoadTask (ports: TaskPorts, options: LoadTaskOptions): LoadTask {
  const { engine, table } = options
  let state: EngineState | undefined
  let computedSums = { tokens: initialTokens, ms: initialTokens * defaultMsPerToken }
  let msPerToken = defaultMsPerToken
  // A restarted agent continues above the numbers of its earlier run, so that receivers do not drop its reports as outdated.
  let seq = options.incarnation
  let lastResponseMs = ports.timer.now()
  let lastPublishMs = -Infinity
  let lastSummary = ''
  let isPolling = false
  let stateReadMs = 0
  let failedPolls = 0
  let cache: { prefixes: string[], afterSeq: number } = { prefixes: [], afterSeq: 0 }

  function createReport (): LoadReport {
    const free = table.free()
    const queuedTokens = options.countTokensAhead(TierClass.Free)
    return {
      kind: MessageKind.Load,
      backend: options.backend,
      role: state?.role ?? 'decode' as LoadReport['role'],
      model: state?.model ?? '',
      version: state?.version ?? '',
      seats: options.seats,
      seatsUsed: options.seats - free.seats + options.countQueued(),
      pieces: options.pieces,
      piecesUsed: options.pieces - free.pieces,
      queuedTokens,
      paidQueuedTokens: options.countTokensAhead(TierClass.Paid),
      waitMs: Math.round(queuedTokens * msPerToken + options.estimateReserveWaitMs()),
      draining: ports.isDraining(),
      seq: seq++,
      tokensPerPiece: state?.tokensPerPiece ?? defaultTokensPerPiece,
      prefixes: cache.prefixes,
      stalledMs: Math.round(ports.timer.now() - lastResponseMs)
    }
  }

  function publish (): void {
    lastPublishMs = ports.timer.now()
    options.publish(createReport())
  }

  /**
   * Publishes when the load changed, with memory and tokens rounded, and otherwise once per heartbeat. The time between two
   * reports grows with the number of receivers, so that the cost of reports does not grow with the fleet.
   */
  function publishIfDue (): void {
    const { seatsUsed, piecesUsed, queuedTokens, model, role, draining } = createReport()
    const summary = `${seatsUsed} ${Math.round(piecesUsed / 64)} ${Math.round(queuedTokens / 256)} ${model} ${role} ${draining} ${state === undefined}`
    const sinceMs = ports.timer.now() - lastPublishMs
    const maxSpacingMs = maxSpacingHeartbeats * options.heartbeatMs
    const spacingMs = Math.min(maxSpacingMs, Math.max(pollMs, options.countListeners() * 1000 / reportsPerS))
    const isDue = sinceMs >= Math.max(options.heartbeatMs, spacingMs)
    if (!isDue && (summary === lastSummary || sinceMs < spacingMs)) return
    lastSummary = summary
    publish()
  }

  async function readCacheEvents (): Promise<void> {
    const events = await engine.readCacheEvents(cache.afterSeq)
    if (events.err) return
    const prefixes = new Set(cache.prefixes)
    let afterSeq = cache.afterSeq
    for (const event of events.val) {
      afterSeq = Math.max(afterSeq, event.seq)
      if (event.kind === 'stored') prefixes.add(event.prefix)
      else prefixes.delete(event.prefix)
    }
    cache = { prefixes: [...prefixes].slice(-maxPrefixes), afterSeq }
  }

  /** Reads the state and the cache events, less often than the load; false when the engine does not respond. */
  async function readState (): Promise<boolean> {
    if (state !== undefined && ports.timer.now() - stateReadMs < statePeriodMs) return true
    const result = await engine.readState()
    if (result.err) return false
    setState(result.val)
    await readCacheEvents()
    return true
  }

  function setState (next: EngineState): void {
    state = next
    stateReadMs = ports.timer.now()
  }

  async function poll (): Promise<void> {
    if (isPolling) {
      // The previous poll is still waiting for the engine; the report tells the entries for how long it has not responded.
      publishIfDue()
      return
    }
    isPolling = true
    const load = await engine.readLoad()
    if (load.ok && await readState()) {
      lastResponseMs = ports.timer.now()
      failedPolls = 0
    } else {
      failedPolls += 1
      if (failedPolls >= maxFailedPolls) state = undefined
    }
    isPolling = false
    publishIfDue()
  }

  const polls = ports.timer.every(pollMs, poll)
  poll()

  return {
    state: () => state,
    setState,
    toPieces: (tokens) => Math.ceil(tokens / (state?.tokensPerPiece ?? defaultTokensPerPiece)),
    estimatePrefillMs: (tokens) => tokens * msPerToken,
    observePrefill (tokens, tookMs) {
      if (tokens <= 0) return
      // A ratio of sums weights each prefill by its size, because a short one measures mostly the fixed cost of a call.
      computedSums = { tokens: computedSums.tokens * speedDecay + tokens, ms: computedSums.ms * speedDecay + tookMs }
      msPerToken = computedSums.ms / computedSums.tokens
    },
    publish,
    close: () => polls.cancel()
  }
}
