/**
 * The type of a table of decoders for one schema version.
 */
import type { ZodType } from 'zod'
import type { RecordKind, RecordOf } from './_types.ts'

/** The fields of a record that its value holds; kind and name come from the key. */
export type FieldsOf<K extends RecordKind> = Omit<RecordOf<K>, 'kind' | 'name'>

/** Decodes the fields of a record into the internal form, by kind. */
export type SchemaTable = { [K in RecordKind]: ZodType<FieldsOf<K>> }
