/**
 * What the daemons have in common: clock, log, metrics, configuration and peers.
 */
export { createDaemonBase } from './create_daemon_base.ts'
export type { DaemonBase, DaemonBaseOptions } from './create_daemon_base.ts'
export type { WantedPeer } from './_connection_manager.ts'
export type { Daemon } from './_daemon.ts'
