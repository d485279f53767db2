/**
 * Runs prefills at the engine.
 */
import { EngineErrorKind } from '../engine/mod.ts'
import { attemptKey, Outcome, RefusalCode, TierClass } from '../core/types/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import { CancelCause } from './_types.ts'
import type { EngineAdapter, EngineError, PrefillResult } from '../engine/mod.ts'
import type { ReservationTable } from '../core/reservation/mod.ts'
import type { AttemptRef } from '../core/types/mod.ts'
import type { Prefill } from '../wire/mod.ts'
import type { LoadTask } from './_load_task.ts'
import type { TaskPorts } from './_types.ts'

/** Configures the prefill task. */
export interface PrefillTaskOptions {
  engine: EngineAdapter
  table: ReservationTable
  load: LoadTask
  seats: number
  pieces: number
  paidHeadroom: () => number
  release: (ref: AttemptRef, cause: CancelCause) => void
  onFreed: () => void
}

/** Runs prefills. */
export interface PrefillTask {
  /** Runs a prefill and sends its result to the owner, or refuses it when its budget, seats or memory do not suffice. */
  run (owner: string, msg: Prefill): void
  /** Returns the number of prefills that the engine has received and not ended. */
  countRunning (): number
  /** True while the engine computes the prefill of an attempt. */
  isRunning (ref: AttemptRef): boolean
  /** Returns the number of prompt tokens that the engine computes before new work of a tier class. */
  countTokensAhead (tierClass: TierClass): number
}

const wordPattern = /\S+/g

/** Time in milliseconds beyond the engine's own limit after which a prefill result that was not fetched is released. */
const releaseGraceMs = 200

/**
 * Creates the prefill task.
 */
export function createPrefillTask (ports: TaskPorts, options: PrefillTaskOptions): PrefillTask {
  const { engine, table, load } = options
  const running = new Map<string, { tokens: number, tierClass: TierClass }>()
  let lastDoneMs = 0

  function refuse (owner: string, ref: AttemptRef, code: RefusalCode, retryAfterMs: number): void {
    const { requestId, attempt } = ref
    ports.send(owner, { kind: MessageKind.Refused, requestId, attempt, code, retryAfterMs })
  }

  /** Counts the prompt tokens ahead of new work: the engine computes paid work first, so paid work waits only for paid work. */
  function countTokensAhead (tierClass: TierClass): number {
    let tokens = 0
    for (const job of running.values()) {
      if (tierClass === TierClass.Free || job.tierClass === TierClass.Paid) tokens += job.tokens
    }
    return tokens
  }

  function sendFailure (owner: string, ref: AttemptRef, err: EngineError): void {
    if (err.kind === EngineErrorKind.Cancelled) return
    if (!err.sent || err.kind === EngineErrorKind.Refused) {
      refuse(owner, ref, err.sent ? RefusalCode.NoCapacity : RefusalCode.Unreachable, 1000)
    } else {
      const { requestId, attempt } = ref
      const code = RefusalCode.BackendError
      ports.send(owner, { kind: MessageKind.Failed, requestId, attempt, code, outcome: Outcome.Unknown, message: err.message })
    }
    options.release(ref, CancelCause.Failed)
  }

  function sendResult (owner: string, ref: AttemptRef, result: PrefillResult): void {
    const { requestId, attempt } = ref
    ports.send(owner, { kind: MessageKind.Prefilled, requestId, attempt, ...result })
    ports.timer.after(result.keepsMs + releaseGraceMs, () => options.release(ref, CancelCause.ResultExpired))
  }

  /** Returns true when free work would use seats or memory that are kept free for paid work. */
  function wouldUseHeadroom (tierClass: TierClass, pieces: number): boolean {
    if (tierClass === TierClass.Paid) return false
    const free = table.free()
    const headroom = options.paidHeadroom()
    return free.seats - 1 < options.seats * headroom || free.pieces - pieces < options.pieces * headroom
  }

  async function computePrefill (owner: string, msg: Prefill, tokens: number): Promise<void> {
    const ref = { requestId: msg.requestId, attempt: msg.attempt }
    const key = attemptKey(ref)
    const { model, version, prompt, tierClass } = msg
    running.set(key, { tokens, tierClass })
    const startedMs = ports.timer.now()
    const done = await engine.prefill({ ...ref, model, version, prompt, tierClass })
    running.delete(key)
    if (done.err) {
      sendFailure(owner, ref, done.val)
      return
    }
    // The engine computes one prefill at a time, so this one began no earlier than the previous one ended.
    const doneMs = ports.timer.now()
    load.observePrefill(tokens - done.val.cachedTokens, doneMs - Math.max(startedMs, lastDoneMs))
    lastDoneMs = doneMs
    sendResult(owner, ref, done.val)
  }

  return {
    run (owner, msg) {
      const tokens = msg.prompt.match(wordPattern)?.length ?? 0
      const ref = { requestId: msg.requestId, attempt: msg.attempt }
      const waitMs = load.estimatePrefillMs(countTokensAhead(msg.tierClass) + tokens)
      // An idle engine accepts any prefill: if it were refused for a slow estimate, the estimate could never be corrected.
      if (running.size > 0 && waitMs > msg.budgetMs) {
        refuse(owner, ref, RefusalCode.TargetMissed, waitMs - msg.budgetMs)
        return
      }
      const pieces = load.toPieces(tokens)
      if (wouldUseHeadroom(msg.tierClass, pieces)) {
        refuse(owner, ref, RefusalCode.NoCapacity, waitMs)
        return
      }
      const reserved = table.reserve({ ref, owner, pieces }, ports.timer.now())
      if (reserved.err) {
        refuse(owner, ref, reserved.val, 200)
        return
      }
      table.start(ref)
      computePrefill(owner, msg, tokens)
    },
    countRunning: () => running.size,
    isRunning: (ref) => running.has(attemptKey(ref)),
    countTokensAhead
  }
}
