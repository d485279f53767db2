/**
 * Types of what a check of a configuration finds.
 */

/** Names how serious a finding is. */
export enum FindingLevel {
  /** The configuration does not do what it says: requests are refused or never reach a backend server. */
  Error = 'error',
  /** A part of the configuration has no effect, or contradicts another one. */
  Warning = 'warning'
}

/** Something in a configuration that its author should know before it is sent. */
export interface Finding {
  level: FindingLevel
  /** The part of the configuration, such as `route "summaries"`. */
  subject: string
  /** What is wrong with it, and what follows; holds no keys of callers. */
  text: string
}

/** Names what becomes of a part of a configuration. */
export enum ChangeKind {
  Added = 'added',
  Removed = 'removed',
  Changed = 'changed'
}

/** A difference between the configuration in force and the next one. */
export interface Difference {
  kind: ChangeKind
  /** The part of the configuration, such as `route "summaries"`. */
  subject: string
  /** What changes for callers or backend servers; holds no keys of callers. */
  text: string
}
