/**
 * The lease table of an agent, with one lease for each entry, however many requests the entry has.
 */

/** Options of a lease table. */
export interface LeaseTableOptions {
  /** Time in milliseconds after which a lease expires unless it is renewed. */
  leaseMs: number
}

/** Leases of the entries that an agent serves; an owner is `name#incarnation`. */
export interface LeaseTable {
  /** Opens a lease, or renews that of the owner. */
  open (owner: string, nowMs: number): void
  /** Renews a lease; returns false when the owner has none or it has expired. */
  renew (owner: string, nowMs: number): boolean
  /** Removes a lease, for example when the connection is closed; idempotent. */
  close (owner: string): void
  /** Removes the leases that have expired and returns their owners. */
  removeExpired (nowMs: number): string[]
  /** Returns whether the owner has a lease that has not expired. */
  isLive (owner: string, nowMs: number): boolean
  /** Removes every lease and returns their owners; to be used after a pause of the process that was longer than a lease. */
  expireAll (): string[]
  /** Returns the owners whose leases have not been removed, expired or not. */
  listOwners (): string[]
}

/**
 * Creates an empty table of leases.
 *
 * @param options the length of a lease in milliseconds
 * @returns the lease table
 *
 * @example
 * ```ts
 * import { createLeaseTable } from 'briarloom/core/lease'
 *
 * const leases = createLeaseTable({ leaseMs: 1000 })
 * leases.open('entry-1#7', 0)
 * console.assert(leases.renew('entry-1#7', 900))
 * console.assert(leases.removeExpired(1900)[0] === 'entry-1#7')
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
