/**
 * The daemons by the name of their process.
 */
import type { Result } from '../core/results/mod.ts'
import type { Settings } from '../settings/mod.ts'

/** A running process of the system. */
export interface Daemon {
  address: string
  httpAddress?: string
  /** Takes no new work, finishes what is in flight and resolves when nothing is left. */
  stop (): Promise<void>
  /** Ends what is in flight with an honest outcome. */
  kill (): Promise<void>
}

/** Starts a daemon. */
export type Starter = (settings: Settings) => Promise<Result<Daemon, string>>

const modules = {
  entry: { path: '../entry/mod.js', name: 'startEntry' },
  agent: { path: '../agent/mod.js', name: 'startAgent' }
}

/** Loads the function that starts a kind of process, so that an entry does not load the code of an agent. */
export async function loadStarter (process: Settings['process']): Promise<Starter> {
  const { path, name } = modules[process]
  const loaded = await import(path) as Record<string, Starter>
  return loaded[name] as Starter
}
