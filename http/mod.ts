/**
 * Parts of HTTP servers.
 */
export { ClosedBy, manageConnections } from './manage_connections.ts'
export type { AdmissionHandlers, ConnectionManager, ConnectionRequest, ManageConnectionsOptions, UnansweredRequest } from './manage_connections.ts'
