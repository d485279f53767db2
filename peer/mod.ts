/**
 * Connections between the processes of the system: the connected peers, and messages to and from them by name.
 */
export { createPeers } from './create_peers.ts'
export type { Peer, PeerHandlers, Peers, PeersOptions, SelfInfo } from './_types.ts'
