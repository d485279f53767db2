/**
 * What the daemons have in common: clock, log, metrics, configuration and peers.
 */
export { createBase } from './create_base.ts'
export type { Base, BaseOptions } from './create_base.ts'
export type { WantedPeer } from './_links.ts'
export type { Daemon } from './_daemon.ts'
