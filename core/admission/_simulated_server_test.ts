/**
 * A backend server under an admission queue, in simulated time, that checks the promises of every decision.
 */
import assert from 'node:assert/strict'
import { AdmissionPolicy } from '../records/mod.ts'
import { TierClass, attemptKey } from '../types/mod.ts'
import type { Admission, AdmissionDecision, AdmissionItem, AdmissionOptions, RunningItem } from './mod.ts'

/** Names an item that ran to its end. */
export interface FinishedItem {
  item: AdmissionItem
  atMs: number
}

/** Runs admitted items. */
export interface SimulatedServer {
  offer (item: AdmissionItem, runMs: number): void
  advance (ms: number): void
  nowMs (): number
  finished (): FinishedItem[]
  pauses (): number
  /** Returns the number of offered items that were neither refused nor finished. */
  unanswered (): number
}

interface Job extends RunningItem {
  item: AdmissionItem
  leftMs: number
}

/** Creates an idle server. */
export function createSimulatedServer (admission: Admission, options: AdmissionOptions): SimulatedServer {
  const runMsOf = new Map<string, number>()
  const jobs = new Map<string, Job>()
  const done: FinishedItem[] = []
  let nowMs = 0
  let offered = 0
  let refused = 0
  let pauseCount = 0

  function used (test: (job: Job) => boolean): { seats: number, pieces: number } {
    const some = [...jobs.values()].filter(test)
    return {
      seats: some.filter((job) => !job.paused).length, pieces: some.reduce((sum, job) => sum + job.pieces, 0)
    }
  }

  function check (): void {
    const all = used(() => true)
    assert.ok(all.seats <= options.seats && all.pieces <= options.pieces, `used ${JSON.stringify(all)}`)
    if (options.policy !== AdmissionPolicy.Tiered) return
    const free = used((job) => job.tierClass === TierClass.Free)
    assert.ok(free.pieces <= options.pieces * (1 - options.paidHeadroom), `free work holds ${free.pieces} pieces`)
  }

  function setPaused (refs: AdmissionItem['ref'][], paused: boolean): void {
    for (const ref of refs) {
      const job = jobs.get(attemptKey(ref))
      assert.ok(job !== undefined && job.paused !== paused, `cannot set paused=${paused} on ${attemptKey(ref)}`)
      assert.equal(job.tierClass, TierClass.Free)
      job.paused = paused
    }
  }

  function carryOut (decision: AdmissionDecision): void {
    refused += decision.refuse.length
    pauseCount += decision.pause.length
    setPaused(decision.pause, true)
    setPaused(decision.resume, false)
    for (const item of decision.admit) {
      const { ref, tierClass, pieces } = item
      assert.ok(nowMs < item.deadlineMs, `${attemptKey(ref)} was admitted after its deadline`)
      const leftMs = runMsOf.get(attemptKey(ref)) ?? 0
      jobs.set(attemptKey(ref), { ref, tierClass, pieces, paused: false, started: true, item, leftMs })
    }
    check()
  }

  function decide (): void {
    const all = used(() => true)
    const free = { seats: options.seats - all.seats, pieces: options.pieces - all.pieces }
    carryOut(admission.decide(free, [...jobs.values()], nowMs))
  }

  function step (): void {
    nowMs += 1
    for (const [key, job] of jobs) {
      if (job.paused) continue
      job.leftMs -= 1
      if (job.leftMs > 0) continue
      jobs.delete(key)
      done.push({ item: job.item, atMs: nowMs })
    }
    decide()
  }

  return {
    offer (item, runMs) {
      offered += 1
      runMsOf.set(attemptKey(item.ref), runMs)
      if (admission.offer(item, nowMs).err) refused += 1
      decide()
    },
    advance (ms) {
      const targetMs = nowMs + ms
      while (nowMs < targetMs && (jobs.size > 0 || admission.size() > 0)) step()
      nowMs = targetMs
    },
    nowMs: () => nowMs,
    finished: () => done,
    pauses: () => pauseCount,
    unanswered: () => offered - refused - done.length
  }
}
