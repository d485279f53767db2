/**
 * The internal form of configuration records, independent of the schema version in which they were published.
 */
export { AdmissionPolicy, ChoicePolicy, RecordKind, ReservePolicy } from './_types.ts'
export type {
  BackendRecord, CallerRecord, ConfigRecord, ModelRecord, PolicyRecord, RecordOf, ServiceCallRule, ServiceRecord,
  TierRecord
} from './_types.ts'
