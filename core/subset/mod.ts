/**
 * Bounded subsets by rendezvous hashing: the connections of entries to agents, the readers of the configuration service, and the
 * relay peers.
 */
export { chooseExchangePoints } from './choose_exchange_points.ts'
export { chooseReaders, rankNames } from './choose_readers.ts'
export { chooseRelayPeers } from './choose_relay_peers.ts'
export { chooseSubset } from './choose_subset.ts'
export { hashPair, hashText, rendezvousScore } from './rendezvous_score.ts'
export type { ExchangeCandidate, ExchangePointsOptions } from './choose_exchange_points.ts'
export type { ReadersOptions } from './choose_readers.ts'
export type { RelayPeers, RelayPeersOptions } from './choose_relay_peers.ts'
export type { SubsetAgent, SubsetMember, SubsetOptions } from './choose_subset.ts'
