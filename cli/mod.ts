/**
 * The commands of `briarloom` as functions.
 */
export { check } from './check.ts'
export { explain } from './explain.ts'
export { load } from './load.ts'
export { runDaemon } from './run_daemon.ts'
export { status } from './status.ts'
export { supervise } from './supervise.ts'
export type { Output } from './check.ts'
export type { AskOptions } from './status.ts'
export type { SuperviseOptions } from './supervise.ts'
