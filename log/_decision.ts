/**
 * Decisions as the log and the command `explain` show them.
 */

/** Names the kinds of decisions. */
export enum DecisionKind {
  /** A backend server was chosen for an attempt. */
  Routing = 'routing',
  /** A backend server was chosen again after an attempt failed. */
  Retry = 'retry',
  /** Work was admitted, queued, paused or resumed. */
  Admission = 'admission',
  /** Work was refused. */
  Refusal = 'refusal',
  /** A backend server was ordered to change its role, model or version. */
  Placement = 'placement'
}

/** Names a backend server that was considered but not chosen. */
export interface RunnerUp {
  /** Name of the backend server. */
  backend: string
  /** Why it was not chosen. */
  reason: string
}

/** Describes one decision about a request or about the placement of an engine. */
export interface Decision {
  kind: DecisionKind
  /** Identifier of the request; absent for placement. */
  request?: string
  /** Number of the attempt, counted from 1. */
  attempt?: number
  /** Name of the caller. */
  caller?: string
  /** Name of the tier of the caller. */
  tier?: string
  /** Name of the chosen backend server; absent when none was chosen. */
  chosen?: string
  /** Backend servers that were considered but not chosen. */
  runnersUp: RunnerUp[]
  /** Highest configuration revision in force when the decision was made. */
  revision: number
  /** Why the decision was made. */
  reason: string
}
