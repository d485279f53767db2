/**
 * Settings of processes: JSON with comments, checked before anything starts.
 */
export { findDanglingReferences, loadRecords } from './load_records.ts'
export { loadPolicy } from './load_policy.ts'
export { loadSettings } from './load_settings.ts'
export { findNearestKey } from './find_nearest_key.ts'
export { formatProblem } from './_problem.ts'
export { parseJsonc } from './_parse_jsonc.ts'
export type { AgentSettings, EntrySettings, Settings } from './_schemas.ts'
export type { KeyPath, ParsedFile } from './_parse_jsonc.ts'
export type { LoadedRecord, LoadRecordsOptions } from './load_records.ts'
export type { PolicySettings } from './load_policy.ts'
export type { LoadSettingsOptions } from './load_settings.ts'
export type { SettingsProblem } from './_problem.ts'
