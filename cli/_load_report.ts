/**
 * Collects the results of a load run and formats its report.
 */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import type { LoadOptions } from './_load_options.ts'
import { LoadOutcome } from './_load_request.ts'
import type { LoadResult } from './_load_request.ts'

/** Collects the results of a load run and formats them. */
export interface LoadReport {
  /** Counts a request that was not sent because too many were in flight. */
  recordNotSent (): void
  /** Adds the result of a request that was sent. */
  recordResult (result: LoadResult): void
  /** Returns one line of progress, `elapsedMs` after the start of the run. */
  formatProgress (elapsedMs: number): string
  /** Returns the lines of the final report. */
  formatSummary (): string[]
}

/** Histogram units per millisecond: the histograms count microseconds. */
const histogramUnitsPerMs = 1000
/** Longer times are recorded as this value. */
const maxRecordedMs = 600_000
const percentiles = [50, 95, 99]

/** Creates an empty report of a run with the given options. */
export function createLoadReport (options: LoadOptions): LoadReport {
  const firstTokens = createHistogram()
  const tokenGaps = createHistogram()
  const outcomes: { [E in LoadOutcome]: number } = { [LoadOutcome.Finished]: 0, [LoadOutcome.Refused]: 0, [LoadOutcome.Failed]: 0 }
  const countByCode = new Map<string, number>()
  let notSent = 0
  let withinTargets = 0

  function recordResult (result: LoadResult): void {
    outcomes[result.outcome] += 1
    if (result.code !== '') countByCode.set(result.code, (countByCode.get(result.code) ?? 0) + 1)
    if (result.outcome !== LoadOutcome.Finished) return
    recordMs(firstTokens, result.firstTokenMs)
    for (const gap of result.gapsMs) recordMs(tokenGaps, gap)
    if (meetsTargets(result, options)) withinTargets += 1
  }

  function countEnded (): number {
    return outcomes.finished + outcomes.refused + outcomes.failed
  }

  function formatSummary (): string[] {
    const seconds = options.durationMs / 1000
    const sent = countEnded()
    const share = sent === 0 ? 0 : 100 * withinTargets / (sent + notSent)
    return [
      `seed ${options.seed}, ${options.ratePerS} requests/s for ${seconds} s`,
      `sent ${sent}, not sent ${notSent}, finished ${outcomes.finished}, refused ${outcomes.refused}, failed ${outcomes.failed}`,
      ...[...countByCode].sort().map(([code, count]) => `  ${code}: ${count}`),
      `goodput under both targets (${options.firstTokenMs} ms, ${options.betweenTokensMs} ms): ` +
        `${(withinTargets / seconds).toFixed(2)} requests/s, ${share.toFixed(1)}% of all`,
      `first token ms: ${formatPercentiles(firstTokens)}`,
      `between tokens ms: ${formatPercentiles(tokenGaps)}`
    ]
  }

  return {
    recordNotSent () { notSent += 1 },
    recordResult,
    formatProgress: (elapsedMs) => `${Math.round(elapsedMs / 1000)} s: ended ${countEnded()}, good ${withinTargets}, refused ${outcomes.refused}, failed ${outcomes.failed}`,
    formatSummary
  }
}

function createHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: maxRecordedMs * histogramUnitsPerMs, numberOfSignificantValueDigits: 3 })
}

function recordMs (histogram: Histogram, ms: number): void {
  histogram.recordValue(Math.round(Math.min(ms, maxRecordedMs) * histogramUnitsPerMs))
}

function formatPercentiles (histogram: Histogram): string {
  if (histogram.totalCount === 0) return 'none'
  const values = percentiles.map((p) => `p${p} ${(histogram.getValueAtPercentile(p) / histogramUnitsPerMs).toFixed(2)}`)
  return `${values.join(', ')}, ${histogram.totalCount} values`
}

function meetsTargets (result: LoadResult, options: LoadOptions): boolean {
  if (result.firstTokenMs > options.firstTokenMs) return false
  const sum = result.gapsMs.reduce((total, gap) => total + gap, 0)
  return result.gapsMs.length === 0 || sum / result.gapsMs.length <= options.betweenTokensMs
}
