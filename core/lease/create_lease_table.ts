/**
 * The agent's table of leases: one for each entry, whatever the number of its requests.
 */

/** Configures a lease table. */
export interface LeaseTableOptions {
  /** Time in milliseconds for which a lease holds after it was opened or renewed. */
  leaseMs: number
}

/** Holds the leases of the entries that an agent serves; an owner is `name#incarnation`. */
export interface LeaseTable {
  /** Opens a lease, or renews the one that the owner has. */
  open (owner: string, nowMs: number): void
  /** Renews a lease; answers false when the owner has none or it has expired. */
  renew (owner: string, nowMs: number): boolean
  /** Ends a lease, for example when the connection closes; idempotent. */
  close (owner: string): void
  /** Removes the leases that have expired and returns their owners. */
  removeExpired (nowMs: number): string[]
  /** Tells whether the owner holds a lease that has not expired. */
  isLive (owner: string, nowMs: number): boolean
  /** Removes every lease, for use after a pause of the process longer than a lease, and returns their owners. */
  expireAll (): string[]
  /** Lists the owners whose leases were not removed yet. */
  listOwners (): string[]
}

/**
 * Creates an empty table of leases.
 *
 * @param options the length of a lease in milliseconds
 * @returns the table
 *
 * @example
 * ```ts
 * import { createLeaseTable } from 'briarloom/core/lease'
 *
 * const leases = createLeaseTable({ leaseMs: 1000 })
 * leases.open('entry-1#7', 0)
 * console.assert(leases.renew('entry-1#7', 900))
 * console.assert(leases.expired(1900)[0] === 'entry-1#7')
 * ```
 */
export function createLeaseTable (options: LeaseTableOptions): LeaseTable {
  const deadlines = new Map<string, number>()

  function isLive (owner: string, nowMs: number): boolean {
    const deadlineMs = deadlines.get(owner)
    return deadlineMs !== undefined && nowMs < deadlineMs
  }

  function open (owner: string, nowMs: number): void {
    deadlines.set(owner, nowMs + options.leaseMs)
  }

  return {
    open,
    renew (owner, nowMs) {
      if (!isLive(owner, nowMs)) return false
      open(owner, nowMs)
      return true
    },
    close (owner) {
      deadlines.delete(owner)
    },
    removeExpired (nowMs) {
      const owners = [...deadlines.keys()].filter((owner) => !isLive(owner, nowMs))
      for (const owner of owners) deadlines.delete(owner)
      return owners
    },
    isLive,
    expireAll () {
      const owners = [...deadlines.keys()]
      deadlines.clear()
      return owners
    },
    listOwners: () => [...deadlines.keys()]
  }
}
