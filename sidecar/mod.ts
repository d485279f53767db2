/**
 * The sidecar: a process on the machine of an engine that admits streams to it and orders its stage.
 */
export { startSidecar } from './start_sidecar.ts'
export type { Sidecar, SidecarOptions } from './start_sidecar.ts'
