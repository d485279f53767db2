/**
 * Measures how the traffic and delay of configuration relays grow with the size of the fleet, in virtual time.
 */
import type { Point } from './_fit.ts'
import { createRelayFleet } from './_relay_fleet.ts'
import type { RelayFleet } from './_relay_fleet.ts'
import type { SlopeMeasurement } from './_wire_slopes.ts'

const fleetSizes = [130, 260, 520, 780, 1040]
const settleMs = 8_000
/** Time without configuration changes in which the background traffic is measured. */
const quietMs = 5_000
/** Longest time to wait until a change is applied everywhere. */
const limitMs = 20_000
const changeCount = 5

/** Figures of one fleet; rates are per process, except `maxBytesPerS` and `readsPerS`. */
interface FleetFigures {
  startMs: number
  changeMs: number
  messagesPerS: number
  bytesPerS: number
  maxBytesPerS: number
  bytesPerChange: number
  readsPerS: number
}

/** Results by fleet size; all slopes of relays use the same runs. */
const figuresBySize = new Map<number, Promise<FleetFigures>>()

async function measureFleet (size: number): Promise<FleetFigures> {
  const fleet = await createRelayFleet(size, size)
  const startMs = await measureStartMs(fleet)
  await fleet.advance(settleMs)
  fleet.takeCounts()
  await fleet.advance(quietMs)
  const quiet = fleet.takeCounts()
  let changeMs = 0
  for (let i = 0; i < changeCount; i++) changeMs = Math.max(changeMs, await fleet.measureChangeMs(limitMs))
  const busy = fleet.takeCounts()
  const perS = quietMs / 1000
  return {
    startMs,
    changeMs,
    messagesPerS: quiet.messages / size / perS,
    bytesPerS: quiet.bytes / size / perS,
    maxBytesPerS: quiet.maxBytes / perS,
    bytesPerChange: busy.bytes / size / changeCount,
    readsPerS: quiet.reads / perS
  }
}

/** Measures the cold start of the whole fleet: the time until all processes have the first records and one more change. */
function measureStartMs (fleet: RelayFleet): Promise<number> {
  return fleet.measureChangeMs(limitMs)
}

function createRelayMeasurement (name: string, unit: string, pick: (result: FleetFigures) => number): SlopeMeasurement {
  async function run (): Promise<Point[]> {
    const points: Point[] = []
    for (const x of fleetSizes) {
      const result = figuresBySize.get(x) ?? measureFleet(x)
      figuresBySize.set(x, result)
      points.push({ x, y: pick(await result) })
    }
    return points
  }
  return { name: `relay fleet: ${name}`, per: 'process of the fleet', unit, run }
}

/** Lists the slopes of the configuration relays. */
export function listRelaySlopes (): SlopeMeasurement[] {
  return [
    createRelayMeasurement('slowest of 5 changes', 'ms', ({ changeMs }) => changeMs),
    createRelayMeasurement('cold start until all have the records', 'ms', ({ startMs }) => startMs),
    createRelayMeasurement('messages sent a second and process', '/s', ({ messagesPerS }) => messagesPerS),
    createRelayMeasurement('bytes sent a second and process', 'B/s', ({ bytesPerS }) => bytesPerS),
    createRelayMeasurement('bytes sent a second by the busiest', 'B/s', ({ maxBytesPerS }) => maxBytesPerS),
    createRelayMeasurement('bytes sent a change and process', 'B', ({ bytesPerChange }) => bytesPerChange),
    createRelayMeasurement('reads of the service a second, all', '/s', ({ readsPerS }) => readsPerS)
  ]
}
