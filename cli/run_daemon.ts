/**
 * The commands `entry` and `agent`: run one daemon until it is told to stop.
 */
import { createLog } from '../log/mod.ts'
import { formatProblem, loadSettings } from '../settings/mod.ts'
import type { Settings } from '../settings/mod.ts'
import { createSystemTimer } from '../timer/mod.ts'
import type { Output } from './check_files.ts'
import { ExitCode } from './_exit_code.ts'
import { readText } from './_read_file.ts'
import { startDaemon } from './_start_daemon.ts'
import { superviseDaemon } from './supervise_daemon.ts'

const stopSignals = ['SIGTERM', 'SIGINT'] as const

/**
 * Runs a daemon from its settings file.
 *
 * @param kind the kind of process that the command names
 * @param file the settings file
 * @param output where faults of the settings go
 * @returns 0 after a graceful stop, 1 when the daemon could not start or was ended
 *
 * @example
 * ```ts
 * process.exitCode = await runDaemon('entry', 'entry.jsonc', { out: console.log, err: console.error })
 * ```
 */
export async function runDaemon (kind: Settings['process'], file: string | undefined, output: Output): Promise<ExitCode> {
  if (file === undefined) {
    output.err(`${kind}: expected --settings FILE`)
    return ExitCode.Failed
  }
  const settings = readSettings(kind, file, output)
  return settings === undefined ? ExitCode.Failed : await start(settings, output)
}

function readSettings (kind: Settings['process'], file: string, output: Output): Settings | undefined {
  const text = readText(file)
  if (text.err) {
    output.err(text.val)
    return undefined
  }
  const settings = loadSettings(text.val, { file })
  if (settings.err) {
    for (const problem of settings.val) output.err(formatProblem(problem))
    return undefined
  }
  if (settings.val.process === kind) return settings.val
  output.err(`file "${file}" holds the settings of an ${settings.val.process}; expected those of an ${kind}`)
  return undefined
}

async function start (settings: Settings, output: Output): Promise<ExitCode> {
  const daemon = await startDaemon(settings)
  if (daemon.err) {
    output.err(`${settings.process} "${settings.name}" did not start: ${daemon.val}`)
    return ExitCode.Failed
  }
  const log = createLog({ name: settings.name, level: settings.log.level })
  const timer = createSystemTimer()
  const { address, httpAddress } = daemon.val
  log.info({ process: settings.process, address, httpAddress }, `ready ${httpAddress ?? address}`)
  return superviseDaemon(daemon.val, {
    timer,
    log,
    graceMs: settings.timings.graceMs,
    onSignal (fn) { for (const signal of stopSignals) process.on(signal, fn) }
  })
}
