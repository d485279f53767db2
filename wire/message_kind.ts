/**
 * The kinds of messages between processes.
 */

/** Names the kinds of messages; the values travel in the field `kind`. */
export enum MessageKind {
  Hello = 'hello',
  Heartbeat = 'heartbeat',
  Reserve = 'reserve',
  Reserved = 'reserved',
  Refused = 'refused',
  Prefill = 'prefill',
  Prefilled = 'prefilled',
  Decode = 'decode',
  Resume = 'resume',
  Tokens = 'tokens',
  Finished = 'finished',
  Failed = 'failed',
  Cancel = 'cancel',
  Cancelled = 'cancelled',
  Call = 'call',
  CallDone = 'call_done',
  TicketIssue = 'ticket_issue',
  TicketIssued = 'ticket_issued',
  TicketVoid = 'ticket_void',
  TicketVoided = 'ticket_voided',
  Load = 'load',
  Admit = 'pack',
  Admitted = 'packed',
  StreamEnded = 'pack_ended',
  EngineCapacity = 'engine_room',
  PromptEvidence = 'prompt_evidence',
  ConfigDigest = 'config_digest',
  ConfigRecords = 'config_records',
  ViewState = 'view_state',
  ViewRequest = 'view_request',
  ViewChanges = 'view_changes',
  PeerReport = 'peer_report',
  UsageShare = 'usage_share',
  Status = 'status',
  StatusReply = 'status_reply',
  Explain = 'explain',
  ExplainReply = 'explain_reply'
}
