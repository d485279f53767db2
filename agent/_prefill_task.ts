/**
 * Runs prefills at the engine.
 */
import { EngineErrorKind } from '../engine/mod.ts'
import { attemptKey, Outcome, RefusalCode } from '../core/types/mod.ts'
import { MessageKind } from '../wire/mod.ts'
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
  release: (ref: AttemptRef) => void
  onFreed: () => void
}

/** Runs prefills. */
export interface PrefillTask {
  run (owner: string, msg: Prefill): void
  /** Number of prefills that were given to the engine and have not ended. */
  length (): number
}

const wordPattern = /\S+/g

/** Time in milliseconds after which a prefill result that was not fetched is released, beyond the engine's own limit. */
const releaseGraceMs = 200

/**
 * Creates the prefill task.
 */
export function createPrefillTask (ports: TaskPorts, options: PrefillTaskOptions): PrefillTask {
  const { engine, table, load } = options
  const running = new Map<string, number>()

  function refuse (owner: string, ref: AttemptRef, code: RefusalCode, retryAfterMs: number): void {
    const { requestId, attempt } = ref
    ports.send(owner, { kind: MessageKind.Refused, requestId, attempt, code, retryAfterMs })
  }

  function queuedTokens (): number {
    let tokens = 0
    for (const count of running.values()) tokens += count
    return tokens
  }

  function onFailed (owner: string, ref: AttemptRef, err: EngineError): void {
    if (err.kind === EngineErrorKind.Cancelled) return
    if (!err.sent || err.kind === EngineErrorKind.Refused) {
      refuse(owner, ref, err.sent ? RefusalCode.NoCapacity : RefusalCode.Unreachable, 1000)
    } else {
      const { requestId, attempt } = ref
      const code = RefusalCode.BackendError
      ports.send(owner, { kind: MessageKind.Failed, requestId, attempt, code, outcome: Outcome.Unknown, message: err.message })
    }
    options.release(ref)
  }

  function onDone (owner: string, ref: AttemptRef, result: PrefillResult): void {
    const { requestId, attempt } = ref
    ports.send(owner, { kind: MessageKind.Prefilled, requestId, attempt, ...result })
    ports.timer.after(result.keepsMs + releaseGraceMs, () => options.release(ref))
  }

  async function start (owner: string, msg: Prefill, tokens: number): Promise<void> {
    const ref = { requestId: msg.requestId, attempt: msg.attempt }
    const key = attemptKey(ref)
    running.set(key, tokens)
    const { model, version, prompt, tierClass } = msg
    const startedMs = ports.timer.now()
    const done = await engine.prefill({ ...ref, model, version, prompt, tierClass })
    running.delete(key)
    if (done.err) {
      onFailed(owner, ref, done.val)
      return
    }
    load.prefilled(tokens - done.val.cachedTokens, ports.timer.now() - startedMs)
    onDone(owner, ref, done.val)
  }

  return {
    run (owner, msg) {
      const tokens = msg.prompt.match(wordPattern)?.length ?? 0
      const ref = { requestId: msg.requestId, attempt: msg.attempt }
      const waitMs = load.prefillMs(queuedTokens() + tokens)
      if (waitMs > msg.budgetMs) {
        refuse(owner, ref, RefusalCode.TargetMissed, waitMs - msg.budgetMs)
        return
      }
      const reserved = table.reserve({ ref, owner, pieces: load.pieces(tokens) }, ports.timer.now())
      if (reserved.err) {
        refuse(owner, ref, reserved.val, 200)
        return
      }
      table.start(ref)
      start(owner, msg, tokens)
    },
    length: () => running.size
  }
}
