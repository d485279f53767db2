/**
 * The entry's state machine for one model request. It takes events and returns effects; it does no input or output itself.
 */
export { createRequest } from './create_request.ts'
export { RequestEffectKind, RequestEventKind, RequestPhase, RequestTimer } from './_types.ts'
export type {
  AgentReply, BackendChoice, RequestEffect, RequestEvent, RequestMachine, RequestOptions, RequestPorts, RequestSpec
} from './_types.ts'
