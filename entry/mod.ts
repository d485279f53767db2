/**
 * The daemon that callers reach: it routes each request and owns its state until the answer is complete.
 */
export { startEntry } from './start_entry.ts'
