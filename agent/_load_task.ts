/**
 * Follows the load and the state of the engine and publishes them to the entries.
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
  /** Units of work that wait. */
  countQueued: () => number
  /** Prompt tokens that the engine computes before new work of a tier class. */
  countTokensAhead: (tierClass: TierClass) => number
  /** Estimated time in milliseconds that a new reservation of paid work waits. */
  estimateReserveWaitMs: () => number
  publish: (report: LoadReport) => void
  /** Start of the numbers of the reports; grows with every start of the process. */
  incarnation: number
  /** Number of processes that get each report. */
  countListeners: () => number
}

/** Knows the load of the engine. */
export interface LoadTask {
  /** The engine's state as last read; undefined before the first answer or while the engine does not answer. */
  state (): EngineState | undefined
  /** Takes a state that another task read. */
  setState (state: EngineState): void
  /** Works out the memory for a number of tokens, in pieces. */
  toPieces (tokens: number): number
  /** Estimates the time in milliseconds that a number of prompt tokens takes. */
  estimatePrefillMs (tokens: number): number
  /** Learns from a prefill of `tokens` uncached tokens that the engine computed in `tookMs` milliseconds. */
  observePrefill (tokens: number, tookMs: number): void
  /** Sends a report now. */
  publish (): void
  close (): void
}

const pollMs = 100

/** Reports that one agent sends each second to all that listen, as long as its role and readiness stay the same. */
const reportsPerS = 20

/** Heartbeats between two reports at most, so that silence still tells of a lost agent. */
const maxSpacingHeartbeats = 2
const statePeriodMs = 500
const defaultTokensPerPiece = 16
const defaultMsPerToken = 0.05
const speedMemory = 0.95
const priorTokens = 2000
const maxSilentPolls = 10
const maxPrefixes = 64

/**
 * Creates the load task.
 */
export function createLoadTask (ports: TaskPorts, options: LoadTaskOptions): LoadTask {
  const { engine, table } = options
  let state: EngineState | undefined
  let computed = { tokens: priorTokens, ms: priorTokens * defaultMsPerToken }
  let msPerToken = defaultMsPerToken
  // A restarted agent goes on above the numbers of its earlier run, so that its reports are not taken for old ones.
  let seq = options.incarnation
  let answeredMs = ports.timer.now()
  let publishedMs = -Infinity
  let lastShape = ''
  let polling = false
  let stateMs = 0
  let silentPolls = 0
  let seen: { prefixes: string[], afterSeq: number } = { prefixes: [], afterSeq: 0 }

  function report (): LoadReport {
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
      prefixes: seen.prefixes,
      stalledMs: Math.round(ports.timer.now() - answeredMs)
    }
  }

  function publish (): void {
    publishedMs = ports.timer.now()
    options.publish(report())
  }

  /**
   * Publishes when the shape of the load changed, and otherwise once a heartbeat. The more entries listen, the rarer are
   * reports about load alone, so that their cost does not grow with the fleet.
   */
  function publishIfDue (): void {
    const { seatsUsed, piecesUsed, queuedTokens, model, role, draining } = report()
    const shape = `${seatsUsed} ${Math.round(piecesUsed / 64)} ${Math.round(queuedTokens / 256)} ${model} ${role} ${draining} ${state === undefined}`
    const sinceMs = ports.timer.now() - publishedMs
    const longestMs = maxSpacingHeartbeats * options.heartbeatMs
    const spacingMs = Math.min(longestMs, Math.max(pollMs, options.countListeners() * 1000 / reportsPerS))
    const isDue = sinceMs >= Math.max(options.heartbeatMs, spacingMs)
    if (!isDue && (shape === lastShape || sinceMs < spacingMs)) return
    lastShape = shape
    publish()
  }

  async function readCache (): Promise<void> {
    const events = await engine.readCacheEvents(seen.afterSeq)
    if (events.err) return
    const prefixes = new Set(seen.prefixes)
    let afterSeq = seen.afterSeq
    for (const event of events.val) {
      afterSeq = Math.max(afterSeq, event.seq)
      if (event.kind === 'stored') prefixes.add(event.prefix)
      else prefixes.delete(event.prefix)
    }
    seen = { prefixes: [...prefixes].slice(-maxPrefixes), afterSeq }
  }

  /** Reads the state at first and then at a lower rate than the load. */
  async function readState (): Promise<boolean> {
    if (state !== undefined && ports.timer.now() - stateMs < statePeriodMs) return true
    const now = await engine.readState()
    if (now.err) return false
    learn(now.val)
    await readCache()
    return true
  }

  function learn (next: EngineState): void {
    state = next
    stateMs = ports.timer.now()
  }

  async function poll (): Promise<void> {
    if (polling) {
      // The engine does not answer: the entries learn from the report for how long.
      publishIfDue()
      return
    }
    polling = true
    const load = await engine.readLoad()
    if (load.ok && await readState()) {
      answeredMs = ports.timer.now()
      silentPolls = 0
    } else {
      silentPolls += 1
      if (silentPolls >= maxSilentPolls) state = undefined
    }
    polling = false
    publishIfDue()
  }

  const polls = ports.timer.every(pollMs, poll)
  poll()

  return {
    state: () => state,
    setState: learn,
    toPieces: (tokens) => Math.ceil(tokens / (state?.tokensPerPiece ?? defaultTokensPerPiece)),
    estimatePrefillMs: (tokens) => tokens * msPerToken,
    observePrefill (tokens, tookMs) {
      if (tokens <= 0) return
      // Sums weigh a prefill by its size: a short one takes mostly the constant part of a call.
      computed = { tokens: computed.tokens * speedMemory + tokens, ms: computed.ms * speedMemory + tookMs }
      msPerToken = computed.ms / computed.tokens
    },
    publish,
    close: () => polls.cancel()
  }
}
