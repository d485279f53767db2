/**
 * Outcomes as values: the `Result` type of ts-results under the names that the project uses.
 */
export { Err, Ok } from './_interop.ts'
export type { Result } from 'ts-results'
