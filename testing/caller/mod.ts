/**
 * A caller of the entries, as tests, the demo and the bench use it.
 */
export { complete } from './complete.ts'
export { callService, issueTicket, voidTicket } from './call_service.ts'
export type { Completion, CompleteOptions } from './complete.ts'
export type { CallServiceOptions, ServiceAnswer } from './call_service.ts'
