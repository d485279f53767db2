/**
 * Prints tables in Markdown.
 */

/** Holds the lowest, the median and the highest of several runs. */
export interface Spread {
  low: number
  median: number
  high: number
}

/** Returns the spread of some numbers. */
export function computeSpread (values: number[]): Spread {
  const sorted = [...values].sort((a, b) => a - b)
  const middle = (sorted.length - 1) / 2
  const median = ((sorted[Math.floor(middle)] ?? 0) + (sorted[Math.ceil(middle)] ?? 0)) / 2
  return { low: sorted[0] ?? 0, median, high: sorted.at(-1) ?? 0 }
}

/** Writes a spread as `median (low–high)`. */
export function formatSpread (values: number[], digits: number): string {
  const { low, median, high } = computeSpread(values)
  return `${median.toFixed(digits)} (${low.toFixed(digits)}–${high.toFixed(digits)})`
}

/** Writes a table; every row has a cell for each heading. */
export function formatMarkdownTable (headings: string[], rows: string[][]): string {
  const lines = [headings, headings.map(() => '---'), ...rows].map((cells) => `| ${cells.join(' | ')} |`)
  return lines.join('\n')
}
