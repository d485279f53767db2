/**
 * Parts of HTTP servers.
 */
export { BodyFault, createBodyReader } from './create_body_reader.ts'
export { ClosedBy, manageConnections } from './manage_connections.ts'
export type { AdmissionHandlers, ConnectionManager, ConnectionRequest, ManageConnectionsOptions, UnansweredRequest } from './manage_connections.ts'
export type { BodyReader, BodyReaderOptions, ReadBodyOptions } from './create_body_reader.ts'
