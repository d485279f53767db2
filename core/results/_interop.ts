/**
 * Named exports of ts-results, which is published as CommonJS.
 */
import results from 'ts-results'

/** Constructors of a success and of an error. */
export const { Ok, Err } = results
