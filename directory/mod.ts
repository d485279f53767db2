/**
 * What the platform publishes, as one process sees it: routing rules and workers.
 */
export { syncRecords } from './sync_records.ts'
export { createDirectory } from './create_directory.ts'
export type { Directory, DirectoryOptions } from './create_directory.ts'
export type { SyncRecordsOptions, RecordSync } from './sync_records.ts'
