/**
 * The base that entries and agents have in common: timer, log, metrics, configuration, members and peers.
 */
export { createDaemonBase } from './create_daemon_base.ts'
export type { DaemonBase, DaemonBaseOptions } from './create_daemon_base.ts'
export type { WantedPeer } from './_connection_manager.ts'
export type { Daemon } from './_daemon.ts'
