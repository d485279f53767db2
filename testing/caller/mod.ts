/**
 * A client of the entries for tests, the demo and the bench.
 */
export { requestCompletion } from './request_completion.ts'
export { callService, issueTicket, voidTicket } from './call_service.ts'
export type { Completion, CompleteOptions } from './request_completion.ts'
export type { CallServiceOptions, ServiceResponse } from './call_service.ts'
