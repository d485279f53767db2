/**
 * Parts of HTTP servers.
 */
export { boundConnections } from './bound_connections.ts'
export { BodyFault, createBodyReader } from './create_body_reader.ts'
export { manageConnections } from './manage_connections.ts'
export { ClosedBy } from './_types.ts'
export type { AdmissionHandlers, ConnectionManager, ConnectionRequest, ManageConnectionsOptions, UnansweredRequest } from './_types.ts'
export type { BodyReader, BodyReaderOptions, ReadBodyOptions } from './create_body_reader.ts'
export type { BoundConnectionsOptions, BoundedConnections } from './bound_connections.ts'
