/**
 * What is known about whether a request ran.
 */

/** Outcome of a request or call. */
export enum Outcome {
  /** The request did not run; this is certain. */
  NotRun = 'not_run',
  /** The request has finished and its answer is complete. */
  Done = 'done',
  /** The request was sent to a backend server, and its result is not known. */
  Unknown = 'unknown'
}
