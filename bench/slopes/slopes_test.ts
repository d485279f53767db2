/**
 * Steps for fitted slopes.
 */
import assert from 'node:assert/strict'
import { Then } from '@cucumber/cucumber'
import { fitLine, computeMedians } from './_fit.ts'
import type { Point } from './_fit.ts'

function parsePoints (text: string): Point[] {
  return text.split(' ').map((pair) => {
    const [x, y] = pair.split(':').map(Number)
    return { x: x as number, y: y as number }
  })
}

Then('the slope fit of {string} is {float} with an error of {float} and an intercept of {float}',
  (points: string, slope: number, error: number, intercept: number) => {
    const fit = fitLine(parsePoints(points))
    assert.deepEqual([fit.slope, fit.slopeError, fit.intercept].map((value) => Number(value.toFixed(3))), [slope, error, intercept])
  })

Then('the slope medians of {string} are {string}', (points: string, expected: string) => {
  assert.equal(computeMedians(parsePoints(points)).map(({ x, y }) => `${x}:${y}`).join(' '), expected)
})
