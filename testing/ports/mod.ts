/**
 * Finds free ports for tests.
 */
export { findFreePort } from './find_free_port.ts'
