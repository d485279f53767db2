/**
 * Stable codes for refusals, shared by the wire protocol, the HTTP errors and the logs.
 */

/** Names the reason for which work was refused or failed. */
export enum RefusalCode {
  /** No seat or memory is free for this tier. */
  NoCapacity = 'no_capacity',
  /** The backend server is leaving. */
  Draining = 'draining',
  /** The agent has no lease for this entry. */
  LeaseExpired = 'lease_expired',
  /** The message belongs to an older attempt or to another incarnation. */
  Stale = 'stale',
  /** The engine or service could not be reached. */
  Unreachable = 'unreachable',
  /** The engine or service answered with an error. */
  BackendError = 'backend_error',
  /** The prefill result expired before the transfer began. */
  PrefillExpired = 'prefill_expired',
  /** The model or version is not served here. */
  ModelNotServed = 'model_not_served',
  /** The latency target can no longer be met. */
  TargetMissed = 'target_missed',
  /** The caller used up its request, token or concurrency limit. */
  LimitExceeded = 'limit_exceeded',
  /** The deadline passed. */
  DeadlineExceeded = 'deadline_exceeded',
  /** No live backend server is known. */
  NoBackend = 'no_backend',
  /** The ticket is not known to this agent incarnation. */
  TicketUnknown = 'ticket_unknown',
  /** The call is not idempotent and came without a ticket. */
  TicketRequired = 'ticket_required',
  /** The caller cancelled. */
  Cancelled = 'cancelled',
  /** The retry budget is used up. */
  RetryBudgetExhausted = 'retry_budget_exhausted'
}
