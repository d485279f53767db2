/**
 * Formats figures of several runs and Markdown tables.
 */

/** The lowest value, the median and the highest value of several runs. */
export interface Spread {
  low: number
  median: number
  high: number
}

/** Computes the spread of some values; all 0 without values. */
export function computeSpread (values: number[]): Spread {
  const sorted = [...values].sort((a, b) => a - b)
  const middle = (sorted.length - 1) / 2
  const median = ((sorted[Math.floor(middle)] ?? 0) + (sorted[Math.ceil(middle)] ?? 0)) / 2
  return { low: sorted[0] ?? 0, median, high: sorted.at(-1) ?? 0 }
}

/** Formats the spread of some values as `median (low–high)` with a number of decimal digits. */
export function formatSpread (values: number[], digits: number): string {
  const { low, median, high } = computeSpread(values)
  return `${median.toFixed(digits)} (${low.toFixed(digits)}–${high.toFixed(digits)})`
}

/** Formats a Markdown table; every row needs a cell for each heading. */
export function formatMarkdownTable (headings: string[], rows: string[][]): string {
  const lines = [headings, headings.map(() => '---'), ...rows].map((cells) => `| ${cells.join(' | ')} |`)
  return lines.join('\n')
}
