/**
 * Exit codes of the command line.
 */

/** Names the exit codes. */
export enum ExitCode {
  Ok = 0,
  /** The command failed, the command line is wrong, or a checked file has a fault. */
  Failed = 1
}
