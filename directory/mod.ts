/**
 * Follows the routing rules and the worker entries that the platform publishes, and copies them between processes.
 */
export { listStoreReaders, viewPortOffset } from './list_store_readers.ts'
export { recordWord } from './record_word.ts'
export { shareView } from './share_view.ts'
export { syncRecords } from './sync_records.ts'
export { createDirectory } from './create_directory.ts'
export type { ListStoreReadersOptions } from './list_store_readers.ts'
export type { RecordWordOptions } from './record_word.ts'
export type { ShareViewOptions, ViewSharing } from './share_view.ts'
export type { Directory, DirectoryOptions, ViewUpdate } from './_types.ts'
export type { SyncRecordsOptions, RecordSync } from './sync_records.ts'
