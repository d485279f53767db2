/**
 * Steps for prefill beside streams.
 */
import assert from 'node:assert/strict'
import { Then } from '@cucumber/cucumber'
import fc from 'fast-check'
import { createFleet, Stage, WorkerState } from '../fleet/mod.ts'
import { canPrefillWithinPause, choosePrefillPlace, estimateDecodeEngineMs, estimatePrefillAtMs, getPrefillMsPerToken, PrefillPlace, recordDecodePrefill, recordPrefill } from './mod.ts'
import type { Worker } from '../fleet/mod.ts'
import type { PrefillRequest } from './mod.ts'

/** Lengths in tokens of the prompts of a burst: mean 3,000 to 5,000, up to 11,000. */
const promptTokens = fc.integer({ min: 600, max: 11_000 })
/** Time in milliseconds between two events of the streams of a busy engine. */
const eventIntervalMs = 55

/** Returns the engines of a service of which one has measured its prefills. */
function createEngines (prefillMsPerToken: number): Worker[] {
  const fleet = createFleet()
  for (const id of ['i-1', 'i-2']) {
    const stage = Stage.Prefill
    fleet.upsert({ id, service: 'llm', address: '10.0.0.1:80', zone: 'levis', slots: 64, state: WorkerState.Ready, softwareVersion: 'v1', stage, bornMs: 1 }, 0)
  }
  const measured = fleet.get('i-2') as Worker
  measured.prefillMsPerToken = prefillMsPerToken
  return fleet.all()
}

Then('with engines of {float} tokens a ms, pieces of {int} tokens and steps of {float} ms, none of {int} prompts that decode engines may run stops their streams for more than {int} ms, and at least {int} of 100 may run',
  function (tokensPerMs: number, pieceTokens: number, stepMs: number, numRuns: number, longestPauseMs: number, minPercent: number) {
    const msPerToken = getPrefillMsPerToken(createEngines(1 / tokensPerMs))
    let allowed = 0
    const worst: number[] = []
    fc.assert(fc.property(promptTokens, (tokens) => {
      if (!canPrefillWithinPause(estimateDecodeEngineMs(tokens, msPerToken), longestPauseMs)) return
      allowed++
      // A decode engine runs prompts at half the speed, with a step of its streams after each piece.
      worst.push(eventIntervalMs + 2 * tokens / tokensPerMs + Math.ceil(tokens / pieceTokens) * stepMs)
    }), { seed: 61, numRuns })
    const late = worst.filter((pauseMs) => pauseMs > longestPauseMs)
    assert.equal(late.length, 0, `${late.length} of ${allowed} prompts stop streams for up to ${Math.round(Math.max(...worst))} ms`)
    assert.ok(allowed >= numRuns * minPercent / 100, `only ${allowed} may run`)
  })

/** Speeds in milliseconds for each token at a prefill and at a decode engine. */
const prefillMsPerToken = 0.03
const decodeMsPerToken = 0.068
/** Time in milliseconds between the end of a prefill at a decode engine and the start of the next one. */
const prefillGapMs = 150
const targetLatencyMs = 900
const longestPauseMs = 300
/** Times in milliseconds for which a request without a place waits, between two tries and in all. */
const retryMs = 60
const waitMs = 495
const firstEventMs = 80
const dayMs = 16_000

interface Arrival { atMs: number, tokens: number }

interface Burst { perS: number, burstPerS: number, fromMs: number, untilMs: number }

/** Returns the arrivals of a day, evenly spaced, with prompts of 1,500 to 5,500 tokens in a fixed order. */
function createArrivals ({ perS, burstPerS, fromMs, untilMs }: Burst): Arrival[] {
  const arrivals: Arrival[] = []
  for (let atMs = 0; atMs < dayMs; atMs += 1000 / (atMs >= fromMs && atMs < untilMs ? burstPerS : perS)) {
    arrivals.push({ atMs, tokens: 1_500 + (arrivals.length * 1_637) % 4_000 })
  }
  return arrivals
}

interface Start { atMs: number, waitedMs: number | undefined }

/** Plays a day on one prefill engine and several decode engines; returns when each prompt was prefilled, undefined when it was refused. */
function playDay (arrivals: Arrival[], decodeEngines: number, place: (request: PrefillRequest) => PrefillPlace): Start[] {
  const starts: Start[] = []
  const busyUntilMs = new Array<number>(decodeEngines).fill(0)
  let queueEndMs = 0
  const tries = arrivals.map((arrival) => ({ ...arrival, tryMs: arrival.atMs }))
  while (tries.length > 0) {
    tries.sort((a, b) => a.tryMs - b.tryMs)
    const next = tries.shift() as typeof tries[number]
    const nowMs = next.tryMs
    const free = busyUntilMs.findIndex((untilMs) => untilMs <= nowMs)
    const prefillEngineMs = Math.max(0, queueEndMs - nowMs) + next.tokens * prefillMsPerToken
    const decodeEngineMs = next.tokens * decodeMsPerToken
    const leftMs = next.atMs + targetLatencyMs - nowMs - firstEventMs
    const chosen = place({ prefillEngineMs, decodeEngineMs, leftMs, targetLatencyMs, longestPauseMs, areDecodeEnginesBusy: free < 0 })
    if (chosen === PrefillPlace.PrefillEngine) {
      queueEndMs = nowMs + prefillEngineMs
      starts.push({ atMs: next.atMs, waitedMs: queueEndMs + firstEventMs - next.atMs })
    } else if (chosen === PrefillPlace.DecodeEngine) {
      busyUntilMs[free] = nowMs + decodeEngineMs + prefillGapMs
      starts.push({ atMs: next.atMs, waitedMs: nowMs + decodeEngineMs + firstEventMs - next.atMs })
    } else if (nowMs - next.atMs + retryMs <= waitMs) tries.push({ ...next, tryMs: nowMs + retryMs })
    else starts.push({ atMs: next.atMs, waitedMs: undefined })
  }
  return starts
}

interface World { arrivals: Arrival[], starts: Start[], decodeEngines: number, burstEndMs: number, prefillEngines: Worker[] }

function countLate (starts: Start[]): number {
  return starts.filter(({ waitedMs }) => waitedMs !== undefined && waitedMs > targetLatencyMs).length
}

Then('with 1 prefill and {int} decode engines, {int} prompts a second and {int} in a burst from {int} to {int} s, all prompts that are accepted start within {int} ms',
  function (this: World, decodeEngines: number, perS: number, burstPerS: number, fromS: number, untilS: number, ms: number) {
    this.decodeEngines = decodeEngines
    this.burstEndMs = untilS * 1000
    this.arrivals = createArrivals({ perS, burstPerS, fromMs: fromS * 1000, untilMs: this.burstEndMs })
    this.starts = playDay(this.arrivals, decodeEngines, choosePrefillPlace)
    const slowest = Math.max(...this.starts.map(({ waitedMs }) => waitedMs ?? 0))
    assert.ok(slowest <= ms, `one starts after ${Math.round(slowest)} ms`)
  })

Then('at least {int} of {int} prompts are accepted', function (this: World, part: number, whole: number) {
  const accepted = this.starts.filter(({ waitedMs }) => waitedMs !== undefined).length
  assert.ok(accepted * whole >= part * this.starts.length, `${accepted} of ${this.starts.length} are accepted`)
})

Then('when all prompts may join the queue, more than a quarter of those after the burst start later', function (this: World) {
  const joinAlways = (request: PrefillRequest): PrefillPlace => {
    const place = choosePrefillPlace(request)
    return place === PrefillPlace.Later ? PrefillPlace.PrefillEngine : place
  }
  const after = playDay(this.arrivals, this.decodeEngines, joinAlways).filter(({ atMs }) => atMs >= this.burstEndMs)
  assert.ok(countLate(after) > after.length / 4, `${countLate(after)} of ${after.length} are late`)
})

Then('an engine whose prefills take {float}, {float}, {float} and {float} ms for each token is known to take {float} ms',
  function (this: World, first: number, second: number, third: number, fourth: number, expected: number) {
    this.prefillEngines = createEngines(first)
    for (const sample of [first, second, third, fourth]) recordPrefill(this.prefillEngines[1] as Worker, sample)
    assert.equal(getPrefillMsPerToken(this.prefillEngines), expected)
  })

Then('after {int} more prefills of {float} ms it is known to take {float} ms', function (this: World, count: number, sample: number, expected: number) {
  for (let i = 0; i < count; i++) recordPrefill(this.prefillEngines[1] as Worker, sample)
  assert.equal(getPrefillMsPerToken(this.prefillEngines), expected)
})

Then('with prefill engines that take {float} and {float} ms for each token, {int} tokens take {int} ms at a decode engine that is not known',
  function (this: World, fast: number, slow: number, tokens: number, expectedMs: number) {
    this.prefillEngines = createEngines(fast)
    recordPrefill(this.prefillEngines[0] as Worker, slow)
    const [decodeEngine] = createEngines(fast)
    assert.equal(Math.round(estimatePrefillAtMs(tokens, decodeEngine as Worker, this.prefillEngines)), expectedMs)
  })

Then('{int} ms at one that took {float} ms for each token of {int} prompts and nothing for one that was cached',
  function (this: World, expectedMs: number, msPerToken: number, count: number) {
    const [decodeEngine] = createEngines(1)
    for (let i = 0; i < count; i++) recordDecodePrefill(decodeEngine as Worker, msPerToken)
    recordDecodePrefill(decodeEngine as Worker, 0)
    assert.equal(Math.round(estimatePrefillAtMs(5_000, decodeEngine as Worker, this.prefillEngines)), expectedMs)
  })
