/**
 * Starts the process beside an engine: it watches the engine and gives it orders.
 */
import { createDirectory, syncRecords } from '../directory/mod.ts'
import { callJson, createExchangePool } from '../exchange/mod.ts'
import { Count, createServedMetrics } from '../metrics/mod.ts'
import { decodeEngineReport, buildReportCall } from '../platform/mod.ts'
import { listen } from '../wire/mod.ts'
import { createAdmissionTask } from './_admission_task.ts'
import { createStageTask } from './_stage_task.ts'
import type { ChooseStagesOptions } from '../core/balance/mod.ts'
import type { PackerOptions } from '../core/packing/mod.ts'
import type { WorkerEntry } from '../core/fleet/mod.ts'
import type { Log } from '../log/mod.ts'
import type { NodeSettings } from '../platform/mod.ts'
import type { Timer } from '../timer/mod.ts'

/** Configures a sidecar. */
export interface SidecarOptions {
  settings: NodeSettings
  timer: Timer
  log: Log
  random: () => number
  stages: ChooseStagesOptions
  packing: Pick<PackerOptions, 'policy' | 'marginShare'>
  /** Port at which metrics are served; nowhere when absent. */
  metricsPort?: number
  /** Number of log lines that were dropped. */
  droppedLines?: () => number
}

/** A running sidecar. */
export interface Sidecar {
  stop (): Promise<void>
  close (): Promise<void>
}

/** Time in milliseconds between two reads of the engine's report, which are free on its own machine. */
const reportPeriodMs = 50
const reportTimeoutMs = 500
/**
 * Time in milliseconds that one watch of the store waits. Calls are priced, and a sidecar forwards nothing; but while its watch is
 * silent it may miss that its engine has started anew, and then admits no stream.
 */
const watchMs = 4_000
/** Time in milliseconds for which memory is kept for a stream that was admitted: reading the longest prompt in a queue, and a margin. */
const startMs = 2_000

/**
 * Starts a sidecar.
 *
 * @param options settings, timer, log and a source of randomness
 * @returns the sidecar
 *
 * @example
 * ```ts
 * import { startSidecar } from 'briarloom/sidecar'
 *
 * console.assert(typeof startSidecar === 'function')
 * ```
 */
export async function startSidecar (options: SidecarOptions): Promise<Sidecar> {
  const { settings, timer, log, random } = options
  const pool = createExchangePool()
  const directory = createDirectory({ storeAddress: settings.storeAddress, timer, log, random, watchMs, onStoreCall: onRead })
  const records = await syncRecords({ directory, timer, log, seeds: settings.seeds })
  const stages = createStageTask({ machine: settings.machine, directory, pool, timer, log, balance: options.stages })
  const packing = { ...options.packing, startMs }
  const admission = createAdmissionTask({ directory, pool, timer, packing, isSwitching: () => stages.isSwitching() })
  const listener = await listen({
    host: settings.ip, port: settings.internalPort, firstMessageTimeoutMs: 0, onConnection: (connection) => admission.addGateway(connection)
  })
  if (listener.err) log.error({ reason: listener.val.message }, 'not listening')
  const metrics = createServedMetrics({
    ...(options.metricsPort === undefined ? {} : { listen: { host: settings.ip, port: options.metricsPort } }),
    gauges: {
      config_version: () => directory.routeTable()?.version ?? 0,
      view_age_ms: () => directory.ageMs(),
      room_tokens: () => admission.roomTokens(),
      gateways: () => admission.gateways(),
      log_lines_dropped: () => options.droppedLines?.() ?? 0
    },
    onError: (reason) => log.warn({ reason }, 'metrics not served')
  })
  function onRead (answered: boolean): void { metrics.count(Count.StoreReads, { result: answered ? 'answered' : 'failed' }) }

  let reading = false

  function ownEntry (): WorkerEntry | undefined {
    return directory.fleet.all().find(({ entry }) => entry.address === settings.workerAddress)?.entry
  }

  async function readReport (): Promise<void> {
    const address = settings.workerAddress
    const entry = ownEntry()
    if (address === undefined || entry === undefined || reading) return
    reading = true
    const answer = await callJson(address, buildReportCall(), { pool, timer, timeoutMs: reportTimeoutMs })
    const report = answer.err ? undefined : decodeEngineReport(answer.val.body)
    if (report !== undefined) admission.onReport(entry, report)
    if (report !== undefined && directory.hasReadStore()) await stages.onReport(entry, report)
    reading = false
  }

  timer.every(reportPeriodMs, () => { readReport() })
  log.info({ worker: settings.workerAddress }, 'watching')
  return {
    stop: async () => {},
    async close () {
      if (listener.ok) await listener.val.close()
      await records.close()
      await directory.close()
      await pool.close()
      metrics.close()
    }
  }
}
