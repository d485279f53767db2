/**
 * The protocol between the processes of the system: messages, frames and connections.
 */
export { connect } from './connect.ts'
export { createFrameDecoder } from './create_frame_decoder.ts'
export { encodeFrame } from './encode_frame.ts'
export { listen } from './listen.ts'
export { packChanges, unpackChanges } from './pack_changes.ts'
export { formatAddress, parseAddress } from './parse_address.ts'
export { validateMessage } from './validate_message.ts'
export { WireErrorKind } from './wire_error.ts'
export { MessageKind } from './message_kind.ts'
export type { Connection } from './_connection.ts'
export type { ConnectOptions } from './connect.ts'
export type { FrameDecoder, FrameDecoderOptions } from './create_frame_decoder.ts'
export type { ListenBounds, Listener, ListenOptions } from './listen.ts'
export type { HostPort } from './parse_address.ts'
export type { Psk } from './_psk.ts'
export type { WireError } from './wire_error.ts'
export type {
  CallDone, CallMessage, CancelMessage, Cancelled, ConfigDigest, ConfigRecords, DecodeMessage, Explain, ExplainReply,
  Failed, Finished, Heartbeat, Hello, LoadReport, Message, MessageOf, PeerReport, Prefill, Prefilled, Refused, Reserve,
  Reserved, Resume, StatusReply, StatusRequest, TicketIssue, TicketIssued, TicketVoid, TicketVoided, Tokens, UsageShare
} from './messages.ts'
export type { AllowanceLevels, AllowanceReport } from './allowance_messages.ts'
export type { ViewChanges, ViewRequest, ViewStateMessage } from './view_messages.ts'
export type { EngineCapacity, Admit, Admitted, PromptEvidenceMessage, StreamEnded } from './pack_messages.ts'
