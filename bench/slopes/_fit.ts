/**
 * Fits straight lines to measured points.
 */

/** One measured point. */
export interface Point {
  x: number
  y: number
}

/** A straight line through points, with the standard errors of its parameters. */
export interface Fit {
  slope: number
  slopeError: number
  intercept: number
  interceptError: number
  /** Coefficient of determination: the share of the variance that the line explains, from 0 to 1. */
  r2: number
  /** Number of fitted points. */
  points: number
  minX: number
  maxX: number
}

/**
 * Fits a straight line by least squares.
 *
 * @param points at least three points with different x
 * @returns the line and the standard errors of its parameters
 *
 * @example
 * ```ts
 * console.log(fitLine([{ x: 0, y: 1 }, { x: 1, y: 3 }, { x: 2, y: 5 }]).slope)
 * ```
 */
export function fitLine (points: Point[]): Fit {
  const n = points.length
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / n
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / n
  const sxx = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0)
  const sxy = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0)
  const syy = points.reduce((sum, { y }) => sum + (y - meanY) ** 2, 0)
  const slope = sxy / sxx
  const intercept = meanY - slope * meanX
  const residual = points.reduce((sum, { x, y }) => sum + (y - intercept - slope * x) ** 2, 0)
  const variance = residual / Math.max(1, n - 2)
  return {
    slope,
    slopeError: Math.sqrt(variance / sxx),
    intercept,
    interceptError: Math.sqrt(variance * (1 / n + meanX ** 2 / sxx)),
    r2: syy === 0 ? 1 : 1 - residual / syy,
    points: n,
    minX: Math.min(...points.map(({ x }) => x)),
    maxX: Math.max(...points.map(({ x }) => x))
  }
}

/**
 * Computes the median of the points with the same x; for an even number of points, the upper one of the two middle values.
 *
 * @param points the points of several rounds
 * @returns one point for each x
 *
 * @example
 * ```ts
 * console.log(computeMedians([{ x: 1, y: 1 }, { x: 1, y: 9 }, { x: 1, y: 2 }])[0]?.y)
 * ```
 */
export function computeMedians (points: Point[]): Point[] {
  const byX = new Map<number, number[]>()
  for (const { x, y } of points) byX.set(x, [...byX.get(x) ?? [], y])
  return [...byX].map(([x, ys]) => ({ x, y: ys.sort((a, b) => a - b)[Math.floor(ys.length / 2)] as number }))
}
