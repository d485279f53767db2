/**
 * The internal form of configuration records, and a decoder to it from every supported schema version.
 */
export { AdmissionPolicy, ChoicePolicy, PlacementPolicy, RecordKind, ReservePolicy } from './_types.ts'
export { RecordErrorKind } from './_error.ts'
export { decodeRecord, maxRecordBytes } from './decode_record.ts'
export type { RecordError } from './_error.ts'
export type {
  BackendRecord, CallerRecord, ConfigRecord, ModelRecord, PolicyRecord, RecordOf, ServiceCallRule, ServiceRecord,
  TierRecord
} from './_types.ts'
