/**
 * The entry's state machine for one model request: events in, effects out.
 */
export { createRequest } from './create_request.ts'
export { RequestEffectKind, RequestEventKind, RequestPhase, RequestTimer } from './_types.ts'
export type {
  AgentReply, BackendChoice, RequestEffect, RequestEvent, RequestMachine, RequestOptions, RequestPorts, RequestSpec
} from './_types.ts'
