/**
 * Follows the routing rules and the worker entries that the platform publishes, and copies them between processes.
 */
export { syncRecords } from './sync_records.ts'
export { createDirectory } from './create_directory.ts'
export type { Directory, DirectoryOptions } from './create_directory.ts'
export type { SyncRecordsOptions, RecordSync } from './sync_records.ts'
