/**
 * The commands `gateway` and `sidecar`: run one process on the platform until it is told to stop.
 */
import { readFileSync } from 'node:fs'
import { startGateway } from '../gateway/mod.ts'
import { createLog } from '../log/mod.ts'
import { parseNodeSettings } from '../platform/mod.ts'
import { startSidecar } from '../sidecar/mod.ts'
import { createSystemTimer } from '../timer/mod.ts'
import type { Log } from '../log/mod.ts'
import type { NodeSettings } from '../platform/mod.ts'
import type { Timer } from '../timer/mod.ts'
import { ExitCode } from './_exit_code.ts'

/** Names the processes that run on the platform. */
export enum PlatformProcess {
  Gateway = 'gateway',
  Sidecar = 'sidecar'
}

interface Running {
  stop (): Promise<void>
  close (): Promise<void>
}

interface StartOptions {
  settings: NodeSettings
  timer: Timer
  log: Log
  random: () => number
}

const starters: { readonly [K in PlatformProcess]: (options: StartOptions) => Promise<Running> } = {
  [PlatformProcess.Gateway]: startGateway,
  [PlatformProcess.Sidecar]: startSidecar
}

/** Variable of the environment that holds the path of the platform's settings file. */
const settingsVariable = 'BRIARLOOM_NODE_FILE'

/**
 * Runs a process on the platform, which names the settings file in the environment.
 *
 * @param kind which process
 * @param file the settings file; the one that the environment names when absent
 * @returns 0 after SIGTERM, 1 when the settings cannot be used
 *
 * @example
 * ```ts
 * process.exitCode = await runOnPlatform(PlatformProcess.Gateway, undefined)
 * ```
 */
export async function runOnPlatform (kind: PlatformProcess, file: string | undefined): Promise<ExitCode> {
  const path = file ?? process.env[settingsVariable]
  if (path === undefined) {
    console.error(`${kind}: expected --settings FILE or the variable ${settingsVariable}`)
    return ExitCode.Failed
  }
  const settings = parseNodeSettings(readFileSync(path, 'utf8'))
  if (settings.err) {
    console.error(`${path}: ${settings.val}`)
    return ExitCode.Failed
  }
  const timer = createSystemTimer()
  const log = createLog({ name: settings.val.machine, level: 'info' })
  const running = await starters[kind]({ settings: settings.val, timer, log, random: Math.random })
  process.on('SIGHUP', () => { log.info({}, 'settings file has changed') })
  await new Promise<void>((resolve) => { process.once('SIGTERM', () => resolve()) })
  await running.stop()
  await running.close()
  return ExitCode.Ok
}
