/**
 * Views of the store: which processes read it for the others, and how far a process can rely on what they pass on.
 */
export { chooseStoreReaders } from './choose_store_readers.ts'
export { comparePositions } from './compare_positions.ts'
export { createRecordSet } from './create_record_set.ts'
export { createViewTracker } from './create_view_tracker.ts'
export type { StoreChange, StorePosition } from './compare_positions.ts'
export type { AppliedChanges, RecordSet } from './create_record_set.ts'
export type { ViewState, ViewTracker, ViewTrackerOptions } from './create_view_tracker.ts'
export type { StoreReadersOptions } from './choose_store_readers.ts'
