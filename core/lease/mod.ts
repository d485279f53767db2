/**
 * Leases that bound how long an agent holds anything for an entry that it no longer hears.
 */
export { createLeaseTable } from './create_lease_table.ts'
export type { LeaseTable, LeaseTableOptions } from './create_lease_table.ts'
