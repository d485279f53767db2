/**
 * A stand-in for the platform's list of hosts.
 */
export { startHostList } from './start_host_list.ts'
export type { HostListOptions, HostListStandIn, ListedHost } from './start_host_list.ts'
