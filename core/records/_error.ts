/**
 * Errors of the decoder of configuration records.
 */

/** Names the ways in which a configuration record is unusable. */
export enum RecordErrorKind {
  /** The key is not a known kind, a slash and a name. */
  UnknownKey = 'unknown_key',
  /** The value is longer than a record may be. */
  TooLarge = 'too_large',
  /** The value is not a JSON object. */
  NotJson = 'not_json',
  /** The schema version is not one that this process reads. */
  UnknownSchema = 'unknown_schema',
  /** A field is missing, unknown or has a wrong value. */
  WrongField = 'wrong_field'
}

/** Describes why a configuration record is unusable. */
export interface RecordError {
  kind: RecordErrorKind
  /** Key of the record. */
  key: string
  /** Path of the field, its parts joined by dots; empty when the fault is not in one field. */
  path: string
  /** What was expected at the path. */
  expected: string
  message: string
}
