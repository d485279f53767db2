/**
 * Stable codes for refusals and failures, shared by the wire protocol, the HTTP errors and the logs.
 */

/** Reason why work was refused or failed. */
export enum RefusalCode {
  /** No seat or memory is free for this tier. */
  NoCapacity = 'no_capacity',
  /** The backend server is draining. */
  Draining = 'draining',
  /** The agent has no lease for this entry. */
  LeaseExpired = 'lease_expired',
  /** The message belongs to an older attempt or to another incarnation. */
  Stale = 'stale',
  /** The engine or service could not be reached. */
  Unreachable = 'unreachable',
  /** The engine or service answered with an error. */
  BackendError = 'backend_error',
  /** The prefill result expired before its transfer began. */
  PrefillExpired = 'prefill_expired',
  /** The model or version is not served here. */
  ModelNotServed = 'model_not_served',
  /** The latency target can no longer be met. */
  TargetMissed = 'target_missed',
  /** The request, token or concurrency limit of the caller is exceeded, or the request limit that the backend server names. */
  LimitExceeded = 'limit_exceeded',
  /** The deadline passed. */
  DeadlineExceeded = 'deadline_exceeded',
  /** No live backend server is known. */
  NoBackend = 'no_backend',
  /** This agent incarnation does not know the ticket. */
  TicketUnknown = 'ticket_unknown',
  /** The call is not idempotent and has no ticket. */
  TicketRequired = 'ticket_required',
  /** The caller cancelled. */
  Cancelled = 'cancelled',
  /** The retry budget is exhausted. */
  RetryBudgetExhausted = 'retry_budget_exhausted'
}
