/**
 * Errors of the decoder for configuration records.
 */

/** Kinds of errors in configuration records. */
export enum RecordErrorKind {
  /** The key does not consist of a known kind, a slash and a valid name. */
  UnknownKey = 'unknown_key',
  /** The value exceeds the maximum length of a record. */
  TooLarge = 'too_large',
  /** The value is not a JSON object. */
  NotJson = 'not_json',
  /** This process does not support the schema version. */
  UnknownSchema = 'unknown_schema',
  /** A field is missing or unknown, or its value is invalid. */
  WrongField = 'wrong_field'
}

/** Error in a configuration record. */
export interface RecordError {
  kind: RecordErrorKind
  /** Key of the record. */
  key: string
  /** Path of the field, separated by dots; empty when the error is not in a single field. */
  path: string
  /** What was expected at the path. */
  expected: string
  /** Message with the key, the path and what was expected. */
  message: string
}
