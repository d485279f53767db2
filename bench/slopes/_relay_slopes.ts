/**
 * Slopes of the configuration relays with the size of the fleet, in virtual time.
 */
import type { Point } from './_fit.ts'
import { createRelayFleet } from './_relay_fleet.ts'
import type { RelayFleet } from './_relay_fleet.ts'
import type { SlopeMeasurement } from './_wire_slopes.ts'

const sizes = [130, 260, 520, 780, 1040]
const settleMs = 8_000
const quietMs = 5_000
const limitMs = 20_000
const changes = 5

interface Seen {
  startMs: number
  changeMs: number
  messagesPerS: number
  bytesPerS: number
  maxBytesPerS: number
  bytesPerChange: number
  readsPerS: number
}

const seen = new Map<number, Promise<Seen>>()

async function measure (size: number): Promise<Seen> {
  const fleet = await createRelayFleet(size, size)
  const startMs = await waitForStart(fleet)
  await fleet.advance(settleMs)
  fleet.takeCounts()
  await fleet.advance(quietMs)
  const quiet = fleet.takeCounts()
  let changeMs = 0
  for (let i = 0; i < changes; i++) changeMs = Math.max(changeMs, await fleet.measureChangeMs(limitMs))
  const busy = fleet.takeCounts()
  const perS = quietMs / 1000
  return {
    startMs,
    changeMs,
    messagesPerS: quiet.messages / size / perS,
    bytesPerS: quiet.bytes / size / perS,
    maxBytesPerS: quiet.maxBytes / perS,
    bytesPerChange: busy.bytes / size / changes,
    readsPerS: quiet.reads / perS
  }
}

/** Starts the whole fleet at one moment; the change that `change` writes counts once everyone has it. */
function waitForStart (fleet: RelayFleet): Promise<number> {
  return fleet.measureChangeMs(limitMs)
}

function relayMeasure (name: string, unit: string, pick: (result: Seen) => number): SlopeMeasurement {
  async function run (): Promise<Point[]> {
    const points: Point[] = []
    for (const x of sizes) {
      const result = seen.get(x) ?? measure(x)
      seen.set(x, result)
      points.push({ x, y: pick(await result) })
    }
    return points
  }
  return { name: `relay fleet: ${name}`, per: 'process of the fleet', unit, run }
}

/** Lists the slopes of relays. */
export function listRelaySlopes (): SlopeMeasurement[] {
  return [
    relayMeasure('slowest of 5 changes', 'ms', ({ changeMs }) => changeMs),
    relayMeasure('cold start until all have the records', 'ms', ({ startMs }) => startMs),
    relayMeasure('messages sent a second and process', '/s', ({ messagesPerS }) => messagesPerS),
    relayMeasure('bytes sent a second and process', 'B/s', ({ bytesPerS }) => bytesPerS),
    relayMeasure('bytes sent a second by the busiest', 'B/s', ({ maxBytesPerS }) => maxBytesPerS),
    relayMeasure('bytes sent a change and process', 'B', ({ bytesPerChange }) => bytesPerChange),
    relayMeasure('reads of the service a second, all', '/s', ({ readsPerS }) => readsPerS)
  ]
}
