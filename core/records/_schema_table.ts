/**
 * The type of the decoders of one schema version.
 */
import type { ZodType } from 'zod'
import type { RecordKind, RecordOf } from './_types.ts'

/** The fields in the value of a record; kind and name come from its key. */
export type FieldsOf<K extends RecordKind> = Omit<RecordOf<K>, 'kind' | 'name'>

/** Decoders from the fields of a record to the internal form, by kind. */
export type SchemaTable = { [K in RecordKind]: ZodType<FieldsOf<K>> }
