/**
 * Leases that limit how long an agent holds resources for an entry from which it receives no messages.
 */
export { createLeaseTable } from './create_lease_table.ts'
export type { LeaseTable, LeaseTableOptions } from './create_lease_table.ts'
