/**
 * Measures the memory of idle processes that have loaded a daemon.
 */
import { fork } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'
import type { Point } from './_fit.ts'
import type { SlopeMeasurement } from './_wire_slopes.ts'

/** Starts `count` idle processes and returns the sum of their resident memory in bytes. */
async function measureIdleRssBytes (kind: string, count: number): Promise<number> {
  const path = fileURLToPath(new URL('./idle_main.js', import.meta.url))
  const children = Array.from({ length: count }, () => fork(path, [kind]))
  const replies = await Promise.all(children.map((child) => once(child, 'message')))
  for (const child of children) child.disconnect()
  await Promise.all(children.map((child) => once(child, 'exit')))
  return replies.reduce((sum, [reply]) => sum + (reply as { rss: number }).rss, 0)
}

function createIdleMeasurement (kind: string): SlopeMeasurement {
  async function run (): Promise<Point[]> {
    const points: Point[] = []
    for (const x of [1, 2, 3, 4]) points.push({ x, y: await measureIdleRssBytes(kind, x) })
    return points
  }
  return { name: `resident memory of an idle ${kind}`, per: 'process', unit: 'B', run }
}

/** Lists the slopes of the memory of idle processes. */
export function listProcessSlopes (): SlopeMeasurement[] {
  return [createIdleMeasurement('entry'), createIdleMeasurement('agent')]
}
