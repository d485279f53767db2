/**
 * Draws goodput over load as an SVG image.
 */
import { computeSpread } from './_table.ts'

/** One line of the plot, with the values of several runs at each load. */
export interface PlotLine {
  name: string
  points: Array<{ load: number, values: number[] }>
}

const width = 760
const height = 420
const margin = 50
const legendWidth = 170
const colours = ['#111111', '#d62728', '#1f77b4', '#2ca02c', '#9467bd', '#8c564b', '#e377c2', '#7f7f7f']

function scaleX (load: number, loads: number[]): number {
  const low = Math.min(...loads)
  const high = Math.max(...loads)
  return margin + (load - low) / Math.max(high - low, 0.01) * (width - 2 * margin - legendWidth)
}

function scaleY (value: number, top: number): number {
  return height - margin - value / top * (height - 2 * margin)
}

/** Draws lines through the medians, with a bar from the lowest to the highest value at each load; returns the SVG text. */
export function drawPlot (title: string, lines: PlotLine[]): string {
  const points = lines.flatMap((line) => line.points)
  const loads = points.map((point) => point.load)
  const top = Math.max(1, ...points.flatMap((point) => point.values)) * 1.1
  const drawnLines = lines.map((line, i) => {
    const colour = colours[i % colours.length] ?? 'black'
    const positions = line.points.map(({ load, values }) => ({ x: scaleX(load, loads) + i * 2, ...computeSpread(values) }))
    const path = positions.map(({ x, median }) => `${x.toFixed(1)},${scaleY(median, top).toFixed(1)}`).join(' ')
    const bars = positions.map(({ x, low, high }) =>
      `<line x1="${x}" x2="${x}" y1="${scaleY(low, top)}" y2="${scaleY(high, top)}" stroke="${colour}"/>`)
    const label = `<text x="${width - legendWidth}" y="${margin + 18 * i}" fill="${colour}">${line.name}</text>`
    return `<polyline points="${path}" fill="none" stroke="${colour}"/>${bars.join('')}${label}`
  })
  const xLabels = [...new Set(loads)].map((load) => `<text x="${scaleX(load, loads)}" y="${height - margin + 18}">${load}×</text>`)
  const yLabels = [0, top / 2, top].map((value) => `<text x="5" y="${scaleY(value, top)}">${value.toFixed(0)}</text>`)
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="12">
<rect width="100%" height="100%" fill="white"/><text x="${margin}" y="20">${title}</text>
${[...xLabels, ...yLabels, ...drawnLines].join('\n')}
</svg>
`
}
