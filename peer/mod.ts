/**
 * Connections between the system's own processes: who is connected, and messages by the name of the peer.
 */
export { createPeers } from './create_peers.ts'
export type { Peer, PeerHandlers, Peers, PeersOptions, SelfInfo } from './_types.ts'
