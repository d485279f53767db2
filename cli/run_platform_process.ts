/**
 * The commands `gateway` and `sidecar`: run one process on the platform until SIGTERM.
 */
import { readFileSync } from 'node:fs'
import { Err, Ok } from '../core/results/mod.ts'
import { startGateway } from '../gateway/mod.ts'
import { createBoundedStream, createLog } from '../log/mod.ts'
import { parseNodeSettings } from '../platform/mod.ts'
import { startSidecar } from '../sidecar/mod.ts'
import { createSystemTimer } from '../timer/mod.ts'
import type { Result } from '../core/results/mod.ts'
import type { Log } from '../log/mod.ts'
import type { PolicySettings } from '../settings/mod.ts'
import type { NodeSettings } from '../platform/mod.ts'
import type { Timer } from '../timer/mod.ts'
import { receiveSignals } from './_early_signals.ts'
import { ExitCode } from './_exit_code.ts'

/** Names the processes that run on the platform. */
export enum PlatformProcess {
  Gateway = 'gateway',
  Sidecar = 'sidecar'
}

interface RunningProcess {
  stop (): Promise<void>
  close (): Promise<void>
}

interface StartOptions {
  settings: NodeSettings
  policy: PolicySettings
  timer: Timer
  log: Log
  droppedLines: () => number
}

const starters: { readonly [K in PlatformProcess]: (options: StartOptions) => Promise<Result<RunningProcess, string>> } = {
  [PlatformProcess.Gateway]: ({ policy, ...options }) =>
    startGateway({ ...options, random: Math.random, placement: policy.placement.policy, metricsPort: policy.metrics.gatewayPort }),
  [PlatformProcess.Sidecar]: async ({ policy, ...options }) => Ok(await startSidecar({
    ...options, random: Math.random, stages: policy.stages, packing: policy.packing, metricsPort: policy.metrics.sidecarPort
  }))
}

/** Environment variable that holds the path of the platform's settings file. */
const settingsPathVariable = 'BRIARLOOM_NODE_FILE'

/**
 * Runs a process on the platform until SIGTERM. An environment variable names its settings file.
 *
 * @param kind which process
 * @param policyFile the policy file that the command `write-policy` wrote
 * @returns 0 after SIGTERM, 1 when the settings are invalid or an address cannot be used
 *
 * @example
 * ```ts
 * process.exitCode = await runPlatformProcess(PlatformProcess.Gateway, 'target/policy.json')
 * ```
 */
export async function runPlatformProcess (kind: PlatformProcess, policyFile: string): Promise<ExitCode> {
  const path = process.env[settingsPathVariable]
  if (path === undefined) return printError(`${kind}: environment variable ${settingsPathVariable} is not set; it names the settings file`)
  const settings = readSettings(path)
  if (settings.err) return printError(`${path}: ${settings.val}`)
  // The build validated this file; loading the validator again would take a fifth of the start-up time.
  const policy = JSON.parse(readFileSync(policyFile, 'utf8')) as PolicySettings
  const timer = createSystemTimer()
  const stream = createBoundedStream({ maxBytesPerS: policy.log.maxBytesPerS, now: timer.now })
  const log = createLog({ name: settings.val.machine, level: policy.log.level, boundedOutput: { stream, now: timer.now } })
  const options = { settings: settings.val, policy, timer, log, droppedLines: stream.droppedLines }
  // What one request or message has met must not end the others: their state is their own, and what is shared comes from the store.
  process.on('uncaughtException', (err) => log.error({ err }, 'unexpected error'))
  const stopped = new Promise<void>((resolve) => {
    receiveSignals({
      SIGHUP () {
        const reread = readSettings(path)
        // A running process keeps its addresses and bounds; it uses changed ones after a restart.
        log.info({ valid: reread.ok, reason: reread.err ? reread.val : undefined }, 'settings file has changed')
      },
      SIGTERM: resolve
    })
  })
  const started = await starters[kind](options)
  if (started.err) return printError(`${kind}: ${started.val}`)
  const running = started.val
  await stopped
  await running.stop()
  await running.close()
  return ExitCode.Ok
}

/** Reads the settings file; one that cannot be read is an error like one that is not valid. */
function readSettings (path: string): Result<NodeSettings, string> {
  try {
    return parseNodeSettings(readFileSync(path, 'utf8'))
  } catch (err) {
    return Err((err as Error).message)
  }
}

/** Prints a message to standard error and returns the exit code of a failure. */
function printError (message: string): ExitCode {
  console.error(message)
  return ExitCode.Failed
}
