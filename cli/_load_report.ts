/**
 * Gathers the results of a run of load.
 */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import type { LoadOptions } from './_load_options.ts'
import { LoadOutcome } from './_load_request.ts'
import type { LoadResult } from './_load_request.ts'

/** Gathers results and prints them. */
export interface LoadReport {
  /** Counts a request that was not sent because too many were in flight. */
  recordNotSent (): void
  recordResult (result: LoadResult): void
  /** Returns one line of progress. */
  formatProgress (elapsedMs: number): string
  /** Returns the lines of the final report. */
  formatSummary (): string[]
}

/** Resolution of the histograms: a value of 1 is a microsecond. */
const unitsPerMs = 1000
const maxRecordedMs = 600_000
const percentiles = [50, 95, 99]

/** Creates the report of a run. */
export function createLoadReport (options: LoadOptions): LoadReport {
  const firstTokens = createHistogram()
  const gaps = createHistogram()
  const ends: { [E in LoadOutcome]: number } = { [LoadOutcome.Finished]: 0, [LoadOutcome.Refused]: 0, [LoadOutcome.Failed]: 0 }
  const codes = new Map<string, number>()
  let skipped = 0
  let good = 0

  function recordResult (result: LoadResult): void {
    ends[result.outcome] += 1
    if (result.code !== '') codes.set(result.code, (codes.get(result.code) ?? 0) + 1)
    if (result.outcome !== LoadOutcome.Finished) return
    record(firstTokens, result.firstTokenMs)
    for (const gap of result.gapsMs) record(gaps, gap)
    if (meetsTargets(result, options)) good += 1
  }

  function total (): number {
    return ends.finished + ends.refused + ends.failed
  }

  function formatSummary (): string[] {
    const seconds = options.durationMs / 1000
    const sent = total()
    const share = sent === 0 ? 0 : 100 * good / (sent + skipped)
    return [
      `seed ${options.seed}, ${options.ratePerS} requests/s for ${seconds} s`,
      `sent ${sent}, not sent ${skipped}, finished ${ends.finished}, refused ${ends.refused}, failed ${ends.failed}`,
      ...[...codes].sort().map(([code, count]) => `  ${code}: ${count}`),
      `goodput under both targets (${options.firstTokenMs} ms, ${options.betweenTokensMs} ms): ` +
        `${(good / seconds).toFixed(2)} requests/s, ${share.toFixed(1)}% of all`,
      `first token ms: ${quantiles(firstTokens)}`,
      `between tokens ms: ${quantiles(gaps)}`
    ]
  }

  return {
    recordNotSent () { skipped += 1 },
    recordResult,
    formatProgress: (elapsedMs) => `${Math.round(elapsedMs / 1000)} s: ended ${total()}, good ${good}, refused ${ends.refused}, failed ${ends.failed}`,
    formatSummary
  }
}

function createHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: maxRecordedMs * unitsPerMs, numberOfSignificantValueDigits: 3 })
}

function record (histogram: Histogram, ms: number): void {
  histogram.recordValue(Math.round(Math.min(ms, maxRecordedMs) * unitsPerMs))
}

function quantiles (histogram: Histogram): string {
  if (histogram.totalCount === 0) return 'none'
  const values = percentiles.map((p) => `p${p} ${(histogram.getValueAtPercentile(p) / unitsPerMs).toFixed(2)}`)
  return `${values.join(', ')}, ${histogram.totalCount} values`
}

function meetsTargets (result: LoadResult, options: LoadOptions): boolean {
  if (result.firstTokenMs > options.firstTokenMs) return false
  const sum = result.gapsMs.reduce((total, gap) => total + gap, 0)
  return result.gapsMs.length === 0 || sum / result.gapsMs.length <= options.betweenTokensMs
}
