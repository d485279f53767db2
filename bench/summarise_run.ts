/**
 * Computes the figures of one run from its measured requests.
 */
import { build } from 'hdr-histogram-js'
import type { EngineTotals } from './_counters.ts'
import type { MeasuredRequest } from './send_load.ts'

/** Latency targets in milliseconds. */
export interface Targets {
  firstTokenMs: number
  betweenTokensMs: number
}

/** Percentiles in milliseconds. */
export interface Percentiles {
  p50: number
  p95: number
  p99: number
}

/** Figures of the requests of one tier or caller. */
export interface GroupFigures {
  /** Number of requests that were sent. */
  offered: number
  /** Good answers per second: complete, correct and within both latency targets. */
  goodPerS: number
  /** Share of the offered requests that got a good answer, from 0 to 1. */
  goodShare: number
  /** Time to the first token. */
  firstMs: Percentiles
  /** Mean time between the tokens of an answer. */
  betweenMs: Percentiles
}

/** Figures of one run. */
export interface RunFigures {
  all: GroupFigures
  tiers: { [tier: string]: GroupFigures }
  callers: { [caller: string]: GroupFigures }
  /** Wasted tokens as a share of the prefilled tokens, from 0 to 1. */
  wastedShare: number
  /** Wasted tokens by cause. */
  wasted: { [cause: string]: number }
  prefilledTokens: number
  /** Bytes of KV cache that engines exported. */
  linkBytes: number
  /** Number of requests by error code. */
  codes: { [code: string]: number }
  /** Answers that started and then were incomplete or not the expected text. */
  broken: number
}

/** Configures the summary. */
export interface SummariseRunOptions {
  targets: Targets
  /** Requests that arrived before this time in milliseconds are left out. */
  fromMs: number
  /** Requests that arrived at or after this time in milliseconds are left out. */
  untilMs: number
}

/** Highest time that the histograms can record. */
const maxValueMs = 600_000

function computePercentiles (values: Array<number | undefined>): Percentiles {
  const histogram = build({ highestTrackableValue: maxValueMs, numberOfSignificantValueDigits: 3 })
  for (const value of values) if (value !== undefined) histogram.recordValue(Math.round(value))
  const at = (percent: number): number => histogram.getValueAtPercentile(percent)
  return { p50: at(50), p95: at(95), p99: at(99) }
}

/** Returns true when an answer is complete, correct and within both targets. */
export function isGood (request: MeasuredRequest, targets: Targets): boolean {
  if (!request.isExact || request.firstMs === undefined) return false
  return request.firstMs <= targets.firstTokenMs && (request.betweenMs ?? 0) <= targets.betweenTokensMs
}

function summariseGroup (requests: MeasuredRequest[], options: SummariseRunOptions): GroupFigures {
  const goodCount = requests.filter((request) => isGood(request, options.targets)).length
  return {
    offered: requests.length,
    goodPerS: goodCount * 1000 / (options.untilMs - options.fromMs),
    goodShare: requests.length === 0 ? 0 : goodCount / requests.length,
    firstMs: computePercentiles(requests.map((request) => request.firstMs)),
    betweenMs: computePercentiles(requests.map((request) => request.betweenMs))
  }
}

function summariseGroups (requests: MeasuredRequest[], key: 'tier' | 'caller',
  options: SummariseRunOptions): { [name: string]: GroupFigures } {
  const names = [...new Set(requests.map((request) => request[key]))].sort()
  return Object.fromEntries(names.map((name) => [name, summariseGroup(requests.filter((request) => request[key] === name), options)]))
}

function countCodes (requests: MeasuredRequest[]): { [code: string]: number } {
  const codes: { [code: string]: number } = {}
  for (const { code } of requests) if (code !== undefined) codes[code] = (codes[code] ?? 0) + 1
  return codes
}

/**
 * Summarises one run. Goodput counts answers that are complete, have the expected text and meet both targets: the time to
 * the first token, and the mean time between the tokens of that answer.
 *
 * @param requests the measured requests
 * @param totals the counters of all engines, as differences over the run
 * @param options the targets and the measured time
 * @returns the figures of the requests that arrived in the measured time
 *
 * @example
 * ```ts
 * console.assert(typeof summariseRun === 'function')
 * ```
 */
export function summariseRun (requests: MeasuredRequest[], totals: EngineTotals, options: SummariseRunOptions): RunFigures {
  const counted = requests.filter((request) => request.atMs >= options.fromMs && request.atMs < options.untilMs)
  const wasted = {
    expired: totals.wasted_expired,
    cancelled: totals.wasted_cancelled,
    dropped: totals.wasted_dropped,
    undecoded: totals.wasted_undecoded
  }
  const wastedTokens = Object.values(wasted).reduce((sum, tokens) => sum + tokens, 0)
  return {
    all: summariseGroup(counted, options),
    tiers: summariseGroups(counted, 'tier', options),
    callers: summariseGroups(counted, 'caller', options),
    wastedShare: totals.prefilled_tokens === 0 ? 0 : wastedTokens / totals.prefilled_tokens,
    wasted,
    prefilledTokens: totals.prefilled_tokens,
    linkBytes: totals.kv_bytes_exported,
    codes: countCodes(counted),
    broken: counted.filter((request) => request.firstMs !== undefined && !request.isExact).length
  }
}
