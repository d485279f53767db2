/**
 * The daemon that accepts callers' requests: it routes each request and owns its state until the response is complete.
 */
export { startEntry } from './start_entry.ts'
