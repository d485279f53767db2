/**
 * Memory of processes that have loaded a daemon.
 */
import { fork } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'
import type { Point } from './_fit.ts'
import type { SlopeMeasurement } from './_wire_slopes.ts'

/** Returns the resident memory in bytes of `count` idle processes. */
async function idleRss (kind: string, count: number): Promise<number> {
  const path = fileURLToPath(new URL('./idle_main.js', import.meta.url))
  const children = Array.from({ length: count }, () => fork(path, [kind]))
  const answers = await Promise.all(children.map((child) => once(child, 'message')))
  for (const child of children) child.disconnect()
  await Promise.all(children.map((child) => once(child, 'exit')))
  return answers.reduce((sum, [answer]) => sum + (answer as { rss: number }).rss, 0)
}

function idleMeasure (kind: string): SlopeMeasurement {
  async function run (): Promise<Point[]> {
    const points: Point[] = []
    for (const x of [1, 2, 3, 4]) points.push({ x, y: await idleRss(kind, x) })
    return points
  }
  return { name: `resident memory of an idle ${kind}`, per: 'process', unit: 'B', run }
}

/** Lists the slopes of processes. */
export function listProcessSlopes (): SlopeMeasurement[] {
  return [idleMeasure('entry'), idleMeasure('agent')]
}
