/**
 * The interface of a running entry or agent.
 */

/** Controls a running entry or agent. */
export interface Daemon {
  /** Address `ip:port` at which peers connect. */
  address: string
  /** Address `ip:port` of the HTTP server for callers; only entries have one. */
  httpAddress?: string
  /** Refuses new work, finishes the work in flight and resolves when none is left. */
  stop (): Promise<void>
  /** Ends the work in flight, reporting what is known of its outcome, and closes everything. */
  kill (): Promise<void>
}
