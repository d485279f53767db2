/**
 * Crowds of clients that nobody controls, and the process that they press on.
 */
export { CrowdKind, startCrowd } from './start_crowd.ts'
export { watchProcess } from './watch_process.ts'
export type { Crowd, CrowdOptions } from './start_crowd.ts'
export type { WatchedProcess } from './watch_process.ts'
