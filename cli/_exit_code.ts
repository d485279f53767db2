/**
 * Exit codes of the command line `briarloom`.
 */

/** Names the exit codes. */
export enum ExitCode {
  Ok = 0,
  /** The command failed, the command line is wrong, or a checked file is invalid. */
  Failed = 1,
  /** A checked configuration is valid, but parts of it have no effect or contradict each other. */
  Warned = 2
}
