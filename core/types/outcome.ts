/**
 * What is known about whether a request ran.
 */

/** Names the three outcomes that a request or call can have. */
export enum Outcome {
  /** The request certainly did not run. */
  NotRun = 'not_run',
  /** The request ran to its end and the answer is complete. */
  Done = 'done',
  /** The request was handed over and its result is not known. */
  Unknown = 'unknown'
}
