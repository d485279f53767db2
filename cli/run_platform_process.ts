/**
 * The commands `gateway` and `sidecar`: run one process on the platform until it is told to stop.
 */
import { readFileSync } from 'node:fs'
import { Ok } from '../core/results/mod.ts'
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
  policy: PolicySettings
  timer: Timer
  log: Log
  droppedLines: () => number
}

const starters: { readonly [K in PlatformProcess]: (options: StartOptions) => Promise<Result<Running, string>> } = {
  [PlatformProcess.Gateway]: ({ policy, ...options }) =>
    startGateway({ ...options, random: Math.random, metricsPort: policy.metrics.gatewayPort }),
  [PlatformProcess.Sidecar]: async ({ policy, ...options }) => Ok(await startSidecar({
    ...options, random: Math.random, stages: policy.stages, packing: policy.packing, metricsPort: policy.metrics.sidecarPort
  }))
}

/** Variable of the environment that holds the path of the platform's settings file. */
const settingsVariable = 'BRIARLOOM_NODE_FILE'

/**
 * Runs a process on the platform, which names the settings file in the environment.
 *
 * @param kind which process
 * @param policyFile the operator's policies, as `write-policy` wrote them
 * @returns 0 after SIGTERM, 1 when the settings or an address cannot be used
 *
 * @example
 * ```ts
 * process.exitCode = await runOnPlatform(PlatformProcess.Gateway, 'target/policy.json')
 * ```
 */
export async function runPlatformProcess (kind: PlatformProcess, policyFile: string): Promise<ExitCode> {
  const path = process.env[settingsVariable]
  if (path === undefined) return fail(`${kind}: expected the variable ${settingsVariable}`)
  const settings = parseNodeSettings(readFileSync(path, 'utf8'))
  if (settings.err) return fail(`${path}: ${settings.val}`)
  // The build has checked this file; loading the checker again would take a fifth of the start.
  const policy = JSON.parse(readFileSync(policyFile, 'utf8')) as PolicySettings
  const timer = createSystemTimer()
  const stream = createBoundedStream({ maxBytesPerS: policy.log.maxBytesPerS, now: timer.now })
  const log = createLog({ name: settings.val.machine, level: policy.log.level, boundedOutput: { stream, now: timer.now } })
  const options = { settings: settings.val, policy, timer, log, droppedLines: stream.droppedLines }
  const started = await starters[kind](options)
  if (started.err) return fail(`${kind}: ${started.val}`)
  const running = started.val
  process.on('SIGHUP', () => {
    const changed = parseNodeSettings(readFileSync(path, 'utf8'))
    // Addresses and bounds of a running process stay; a restart takes new ones.
    log.info({ valid: changed.ok, reason: changed.err ? changed.val : undefined }, 'settings file has changed')
  })
  await new Promise<void>((resolve) => { process.once('SIGTERM', () => resolve()) })
  await running.stop()
  await running.close()
  return ExitCode.Ok
}

function fail (message: string): ExitCode {
  console.error(message)
  return ExitCode.Failed
}
