/**
 * Starts the process beside an engine: it watches the engine and gives it orders.
 */
import type { Log } from '../log/mod.ts'
import type { NodeSettings } from '../platform/mod.ts'
import type { Timer } from '../timer/mod.ts'

/** Configures a sidecar. */
export interface SidecarOptions {
  settings: NodeSettings
  timer: Timer
  log: Log
  random: () => number
}

/** A running sidecar. */
export interface Sidecar {
  stop (): Promise<void>
  close (): Promise<void>
}

/** Starts a sidecar. */
export async function startSidecar (options: SidecarOptions): Promise<Sidecar> {
  options.log.info({ worker: options.settings.workerAddress }, 'listening')
  return { stop: async () => {}, close: async () => {} }
}
