/**
 * The `Result` type of ts-results, for functions that return errors as values.
 */
export { Err, Ok } from './_interop.ts'
export type { Result } from 'ts-results'
