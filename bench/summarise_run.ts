/**
 * Turns measured requests into the figures of one run.
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
  offered: number
  /** Answers per second that were whole and met both targets. */
  goodPerS: number
  /** Share of the offered requests that were good. */
  goodShare: number
  firstMs: Percentiles
  betweenMs: Percentiles
}

/** Figures of one run. */
export interface RunFigures {
  all: GroupFigures
  tiers: { [tier: string]: GroupFigures }
  callers: { [caller: string]: GroupFigures }
  /** Wasted tokens as a share of the prefilled tokens. */
  wastedShare: number
  /** Wasted tokens by cause. */
  wasted: { [cause: string]: number }
  prefilledTokens: number
  linkBytes: number
  /** Requests by code of the refusal or failure. */
  codes: { [code: string]: number }
  /** Answers that were begun and not whole, or not the caller's own. */
  broken: number
}

/** Configures the summary. */
export interface SummariseRunOptions {
  targets: Targets
  /** Requests that arrived before this time in milliseconds are left out. */
  fromMs: number
  /** Requests that arrived after this time in milliseconds are left out. */
  untilMs: number
}

const maxValueMs = 600_000

function tail (values: Array<number | undefined>): Percentiles {
  const histogram = build({ highestTrackableValue: maxValueMs, numberOfSignificantValueDigits: 3 })
  for (const value of values) if (value !== undefined) histogram.recordValue(Math.round(value))
  const at = (percent: number): number => histogram.getValueAtPercentile(percent)
  return { p50: at(50), p95: at(95), p99: at(99) }
}

/** Tells whether an answer was whole and met both targets. */
export function isGood (one: MeasuredRequest, targets: Targets): boolean {
  if (!one.isExact || one.firstMs === undefined) return false
  return one.firstMs <= targets.firstTokenMs && (one.betweenMs ?? 0) <= targets.betweenTokensMs
}

function group (requests: MeasuredRequest[], options: SummariseRunOptions): GroupFigures {
  const good = requests.filter((one) => isGood(one, options.targets)).length
  return {
    offered: requests.length,
    goodPerS: good * 1000 / (options.untilMs - options.fromMs),
    goodShare: requests.length === 0 ? 0 : good / requests.length,
    firstMs: tail(requests.map((one) => one.firstMs)),
    betweenMs: tail(requests.map((one) => one.betweenMs))
  }
}

function groupBy (requests: MeasuredRequest[], key: 'tier' | 'caller', options: SummariseRunOptions): { [name: string]: GroupFigures } {
  const names = [...new Set(requests.map((one) => one[key]))].sort()
  return Object.fromEntries(names.map((name) => [name, group(requests.filter((one) => one[key] === name), options)]))
}

function countCodes (requests: MeasuredRequest[]): { [code: string]: number } {
  const codes: { [code: string]: number } = {}
  for (const { code } of requests) if (code !== undefined) codes[code] = (codes[code] ?? 0) + 1
  return codes
}

/**
 * Summarises one run. Goodput counts answers that were whole, the caller's own, and met both targets: the time to the
 * first token, and the mean time between the tokens of that answer.
 *
 * @param requests what was measured
 * @param totals what the engines counted during the run
 * @param options the targets and the time that counts
 * @returns the figures
 *
 * @example
 * ```ts
 * console.assert(typeof summarise === 'function')
 * ```
 */
export function summariseRun (requests: MeasuredRequest[], totals: EngineTotals, options: SummariseRunOptions): RunFigures {
  const counted = requests.filter((one) => one.atMs >= options.fromMs && one.atMs < options.untilMs)
  const wasted = {
    expired: totals.wasted_expired,
    cancelled: totals.wasted_cancelled,
    dropped: totals.wasted_dropped,
    undecoded: totals.wasted_undecoded
  }
  const wastedTokens = Object.values(wasted).reduce((sum, tokens) => sum + tokens, 0)
  return {
    all: group(counted, options),
    tiers: groupBy(counted, 'tier', options),
    callers: groupBy(counted, 'caller', options),
    wastedShare: totals.prefilled_tokens === 0 ? 0 : wastedTokens / totals.prefilled_tokens,
    wasted,
    prefilledTokens: totals.prefilled_tokens,
    linkBytes: totals.kv_bytes_exported,
    codes: countCodes(counted),
    broken: counted.filter((one) => one.firstMs !== undefined && !one.isExact).length
  }
}
