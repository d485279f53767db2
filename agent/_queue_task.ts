/**
 * Admits reservations to the engine through the admission queue.
 */
import { createAdmission } from '../core/admission/mod.ts'
import { attemptKey, TierClass } from '../core/types/mod.ts'
import { DecisionKind } from '../log/mod.ts'
import { Metric } from '../metrics/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import type { AdmissionItem, RunningItem } from '../core/admission/mod.ts'
import type { AdmissionPolicy } from '../core/records/mod.ts'
import type { ReservationTable } from '../core/reservation/mod.ts'
import type { AttemptRef, RefusalCode } from '../core/types/mod.ts'
import type { Reserve } from '../wire/mod.ts'
import type { LoadTask } from './_load_task.ts'
import type { TaskPorts } from './_types.ts'

/** Configures the queue task. */
export interface QueueTaskOptions {
  table: ReservationTable
  load: LoadTask
  seats: number
  pieces: number
  paidHeadroom: () => number
  admission: () => AdmissionPolicy
  listRunning: () => RunningItem[]
  /** Returns the highest configuration revision in force. */
  revision: () => number
  onPaused: (ref: AttemptRef, paused: boolean) => void
}

/** Queues and admits reservations. */
export interface QueueTask {
  /** Queues a reservation and admits what fits; refuses it when the queue does not accept it. */
  enqueue (owner: string, msg: Reserve): void
  /** Admits the waiting work that fits now; also pauses, resumes and refuses work as the admission policy decides. */
  admitWaiting (): void
  /** Removes an attempt from the queue, if it waits. */
  withdraw (ref: AttemptRef): void
  /** Removes the waiting work of an owner; false when it had none. */
  withdrawOwner (owner: string): boolean
  /** Removes the waiting work of an owner, except the attempts whose keys are in `live`. */
  keepOnly (owner: string, live: Set<string>): void
  /** Sends a refusal to the owner of an attempt. */
  refuse (owner: string, ref: AttemptRef, code: RefusalCode, retryAfterMs: number): void
  /** Returns the number of waiting reservations. */
  length (): number
  /** Returns the number of waiting reservations of a tier class. */
  lengthOf (tierClass: TierClass): number
  /** Estimates the time in milliseconds that a new reservation of paid work waits. */
  estimateWaitMs (): number
}

/** Largest number of waiting reservations. */
const maxQueue = 200
/** Tokens that each caller may reserve in one round of the fair queue. */
const quantumTokens = 1000

/**
 * Creates the queue task.
 */
export function createQueueTask (ports: TaskPorts, options: QueueTaskOptions): QueueTask {
  const { table, load } = options
  const { seats, pieces } = options
  const admission = createAdmission({
    policy: options.admission(),
    paidHeadroom: options.paidHeadroom(),
    seats,
    pieces,
    maxQueue,
    quantumTokens
  })
  const waiting = new Map<string, AdmissionItem & { enqueuedMs: number }>()
  /** Admitted work whose decode has not started. */
  const admitted = new Map<string, AdmissionItem>()

  function refuse (owner: string, ref: AttemptRef, code: RefusalCode, retryAfterMs: number): void {
    const { requestId, attempt } = ref
    ports.send(owner, { kind: MessageKind.Refused, requestId, attempt, code, retryAfterMs: Math.round(retryAfterMs) })
  }

  /** Lists what holds memory: running streams, and admitted work whose decode has not started. */
  function listHolding (): RunningItem[] {
    const running = options.listRunning()
    const runningKeys = new Set(running.map((item) => attemptKey(item.ref)))
    const reserved: RunningItem[] = []
    const heldKeys = new Set(table.snapshot().map((entry) => attemptKey(entry.ref)))
    for (const [key, { ref, tierClass, pieces: count }] of admitted) {
      if (!heldKeys.has(key) || runningKeys.has(key)) admitted.delete(key)
      else reserved.push({ ref, tierClass, pieces: count, paused: false, started: false })
    }
    return [...running, ...reserved]
  }

  function recordWait (item: AdmissionItem): void {
    const enqueuedMs = waiting.get(attemptKey(item.ref))?.enqueuedMs
    if (enqueuedMs === undefined) return
    ports.metrics.timing(Metric.QueueTime, ports.timer.now() - enqueuedMs, { class: item.tierClass })
  }

  function admit (item: AdmissionItem): void {
    recordWait(item)
    waiting.delete(attemptKey(item.ref))
    const done = table.reserve({ ref: item.ref, owner: item.owner, pieces: item.pieces }, ports.timer.now())
    if (done.err) refuse(item.owner, item.ref, done.val, 200)
    else {
      admitted.set(attemptKey(item.ref), item)
      ports.send(item.owner, { kind: MessageKind.Reserved, ...item.ref, pieces: item.pieces })
    }
  }

  function logDecision ({ requestId, attempt }: AttemptRef, reason: string, caller?: string): void {
    const revision = options.revision()
    ports.log.decision({ kind: DecisionKind.Admission, request: requestId, attempt, caller, runnersUp: [], revision, reason })
  }

  function setPaused (ref: AttemptRef, paused: boolean): void {
    logDecision(ref, paused ? 'paused for paid work' : 'resumed')
    options.onPaused(ref, paused)
  }

  function admitWaiting (): void {
    admission.setPolicy(options.admission(), options.paidHeadroom())
    const decision = admission.decide(table.free(), listHolding(), ports.timer.now())
    for (const ref of decision.pause) setPaused(ref, true)
    for (const ref of decision.resume) setPaused(ref, false)
    for (const refusal of decision.refuse) {
      waiting.delete(attemptKey(refusal.item.ref))
      logDecision(refusal.item.ref, `refused from the queue: ${refusal.code}`, refusal.item.caller)
      refuse(refusal.item.owner, refusal.item.ref, refusal.code, refusal.retryAfterMs)
    }
    for (const item of decision.admit) admit(item)
  }

  function withdraw (ref: AttemptRef): void {
    if (!waiting.delete(attemptKey(ref))) return
    admission.withdraw(ref)
  }

  function enqueue (owner: string, msg: Reserve): void {
    const ref = { requestId: msg.requestId, attempt: msg.attempt }
    const item: AdmissionItem = {
      ref,
      owner,
      pieces: msg.pieces > 0 ? msg.pieces : load.toPieces(msg.tokens),
      tokens: msg.tokens,
      tierClass: msg.tierClass,
      caller: msg.caller,
      deadlineMs: ports.timer.now() + msg.waitMs
    }
    const offered = admission.offer(item, ports.timer.now())
    if (offered.err) {
      refuse(owner, ref, offered.val.code, offered.val.retryAfterMs)
      return
    }
    waiting.set(attemptKey(ref), { ...item, enqueuedMs: ports.timer.now() })
    admitWaiting()
  }

  return {
    enqueue,
    admitWaiting,
    withdraw,
    withdrawOwner (owner) {
      const owned = [...waiting.values()].filter((item) => item.owner === owner)
      for (const item of owned) withdraw(item.ref)
      return owned.length > 0
    },
    keepOnly (owner, live) {
      for (const item of [...waiting.values()]) {
        if (item.owner === owner && !live.has(attemptKey(item.ref))) withdraw(item.ref)
      }
    },
    refuse,
    length: () => waiting.size,
    lengthOf: (tierClass) => [...waiting.values()].filter((item) => item.tierClass === tierClass).length,
    estimateWaitMs: () => admission.estimateWaitMs(TierClass.Paid)
  }
}
