/**
 * The process beside an engine.
 */
export { startSidecar } from './start_sidecar.ts'
export type { Sidecar, SidecarOptions } from './start_sidecar.ts'
