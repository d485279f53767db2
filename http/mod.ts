/**
 * Parts of HTTP servers.
 */
export { ClosedBy, manageConnections } from './manage_connections.ts'
export type { ConnectionManager, ConnectionRequest, ManageConnectionsOptions, UnansweredRequest } from './manage_connections.ts'
