/**
 * The protocol between the system's own processes: messages, frames and connections.
 */
export { MessageKind } from './messages.ts'
export type {
  CallDone, CallMessage, CancelMessage, Cancelled, ConfigDigest, ConfigRecords, DecodeMessage, Explain, ExplainReply,
  Failed, Finished, Heartbeat, Hello, LoadReport, Message, MessageOf, PeerReport, Prefill, Prefilled, Refused, Reserve,
  Reserved, Resume, StatusReply, StatusRequest, TicketIssue, TicketIssued, TicketVoid, TicketVoided, Tokens, UsageShare
} from './messages.ts'
