/**
 * A running process of the system.
 */

/** A running process of the system. */
export interface Daemon {
  /** Peer address `ip:port`. */
  address: string
  /** Address `ip:port` for callers; entries only. */
  httpAddress?: string
  /** Takes no new work, finishes what is in flight and resolves when nothing is left. */
  stop (): Promise<void>
  /** Ends what is in flight with an honest outcome and closes everything. */
  kill (): Promise<void>
}
