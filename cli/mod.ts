/**
 * The commands of `briarloom` as functions.
 */
export { checkFiles } from './check_files.ts'
export { explainRequest } from './explain_request.ts'
export { runLoad } from './run_load.ts'
export { runDaemon } from './run_daemon.ts'
export { printStatus } from './print_status.ts'
export { superviseDaemon } from './supervise_daemon.ts'
export type { Output } from './check_files.ts'
export type { QueryOptions } from './print_status.ts'
export type { SuperviseOptions } from './supervise_daemon.ts'
