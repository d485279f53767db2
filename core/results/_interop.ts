/**
 * Unpacks ts-results, which is published as CommonJS, into named exports.
 */
import results from 'ts-results'

export const { Ok, Err } = results
