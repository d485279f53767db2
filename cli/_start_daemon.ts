/**
 * The daemons by the name of their process.
 */
import { startAgent } from '../agent/mod.ts'
import type { Result } from '../core/results/mod.ts'
import type { Daemon } from '../daemon/mod.ts'
import { startEntry } from '../entry/mod.ts'
import type { Settings } from '../settings/mod.ts'

type SettingsOf<P extends Settings['process']> = Extract<Settings, { process: P }>

type Starters = { [P in Settings['process']]: (settings: SettingsOf<P>) => Promise<Result<Daemon, string>> }

const starters: Starters = { entry: startEntry, agent: startAgent }

/** Starts the daemon that settings describe. */
export function startDaemon (settings: Settings): Promise<Result<Daemon, string>> {
  const start = starters[settings.process] as (settings: Settings) => Promise<Result<Daemon, string>>
  return start(settings)
}
