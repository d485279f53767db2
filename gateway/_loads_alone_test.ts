/**
 * Loads for tests of a gateway server that stands alone.
 */
import { PlacementPolicy } from '../core/cost/mod.ts'
import { createWorkerLoads } from './_worker_loads.ts'
import type { Timer } from '../timer/mod.ts'
import type { SidecarClient } from './_sidecar_client.ts'
import type { WorkerLoads } from './_worker_loads.ts'

/** Returns the loads of a gateway without exchange points. */
export function createLoadsAlone (timer: Timer): WorkerLoads {
  const sidecars = { receive () {}, exchangePoints: () => [] } as unknown as SidecarClient
  return createWorkerLoads({ sidecars, timer, name: 'edge-1', policy: PlacementPolicy.Latency, incarnation: 1 })
}
