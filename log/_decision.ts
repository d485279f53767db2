/**
 * Decisions as the log and `explain` show them.
 */

/** Names the kinds of decisions. */
export enum DecisionKind {
  /** A backend server was chosen for an attempt. */
  Routing = 'routing',
  /** A backend server was chosen again after an attempt failed. */
  Retry = 'retry',
  /** Work was let in, queued, paused or resumed. */
  Admission = 'admission',
  /** Work was refused. */
  Refusal = 'refusal',
  /** A backend server was ordered to another role, model or version. */
  Placement = 'placement'
}

/** Names a backend server that was not chosen and why. */
export interface RunnerUp {
  backend: string
  reason: string
}

/** Describes one decision. */
export interface Decision {
  kind: DecisionKind
  /** Identifier of the request; absent for placement. */
  request?: string
  /** Number of the attempt, counted from 1. */
  attempt?: number
  caller?: string
  tier?: string
  /** Name of the chosen backend server; absent when none was chosen. */
  chosen?: string
  runnersUp: RunnerUp[]
  /** Highest configuration revision in force when the decision was made. */
  revision: number
  reason: string
}
