/**
 * Starts a sidecar: the process that admits streams to the engine on its machine and orders the stage of the engine.
 */
import { getAllowanceTolerance } from '../core/limits/mod.ts'
import { divideProcess } from '../core/bounds/mod.ts'
import { createDirectory, listStoreReaders, shareView, syncRecords, viewPortOffset } from '../directory/mod.ts'
import { callJson, createExchangePool } from '../exchange/mod.ts'
import { boundConnections } from '../http/mod.ts'
import { Count, createPrometheusMetrics } from '../metrics/mod.ts'
import { decodeEngineReport, decodeResponseHead, buildReportCall } from '../platform/mod.ts'
import { formatAddress, listen } from '../wire/mod.ts'
import { createAllowanceTask } from './_allowance_task.ts'
import { createAdmissionTask } from './_admission_task.ts'
import { createOriginTask } from './_origin_task.ts'
import { createWorkerLoadsTask } from './_worker_loads_task.ts'
import { createStageTask } from './_stage_task.ts'
import type { ChooseStagesOptions } from '../core/balance/mod.ts'
import type { PackerOptions } from '../core/packing/mod.ts'
import type { WorkerEntry } from '../core/fleet/mod.ts'
import type { Log } from '../log/mod.ts'
import type { EngineReport, NodeSettings } from '../platform/mod.ts'
import type { Timer } from '../timer/mod.ts'

/** Configures a sidecar. */
export interface SidecarOptions {
  settings: NodeSettings
  timer: Timer
  log: Log
  random: () => number
  stages: ChooseStagesOptions
  packing: Pick<PackerOptions, 'policy' | 'marginShare'>
  /** Port at which metrics are served; they are not served when it is absent. */
  metricsPort?: number
  /** Returns the number of log lines that were dropped. */
  droppedLines?: () => number
}

/** A running sidecar. */
export interface Sidecar {
  /** Resolves at once, since no work has to finish before `close`. */
  stop (): Promise<void>
  /** Closes all connections. */
  close (): Promise<void>
}

/** Interval in milliseconds at which the report of the engine is read; calls on the same machine are free of charge. */
const reportPeriodMs = 50
const reportTimeoutMs = 500
/** Largest first frame that a process may send, in bytes. */
const maxFirstFrameBytes = 65_536
/**
 * Time in milliseconds that one watch call to the store waits. A long wait saves calls, which are charged, and a sidecar forwards no
 * requests. It is limited because a sidecar whose watch stops responding may miss a restart of its engine, and then admits no stream.
 */
const watchMs = 4_000
/** Time in milliseconds for which memory is reserved for an admitted stream: the prefill of the longest prompt in a queue, and a margin. */
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
  const directory = createDirectory({ storeAddress: settings.storeAddress, timer, log, random, ruleParts: settings, watchMs, onStoreCall, onRecordPassedOver })
  const records = await syncRecords({ directory, timer, log, seeds: settings.seeds })
  const { regions, zone, internalPort } = settings
  const readers = (): string[] => listStoreReaders({ fleet: directory.fleet, regions, zone, internalPort })
  const bounds = divideProcess(settings)
  const peerBounds = { maxFirstFrameBytes, ...(bounds.clients === undefined ? {} : { maxConnections: bounds.clients / 2 }) }
  const view = await shareView({ directory, timer, log, address: formatAddress(settings.ip, internalPort + viewPortOffset), readers, bounds: peerBounds })
  const packing = { ...options.packing, startMs }
  const allowances = createAllowanceTask({ directory, timer, tolerance: getAllowanceTolerance(settings) })
  const workerLoads = createWorkerLoadsTask(timer)
  const origins = createOriginTask(timer)
  const admission = createAdmissionTask({
    directory,
    pool,
    timer,
    log,
    packing,
    random,
    drainMs: settings.drainMs,
    isSwitching: () => stages.isSwitching(),
    onEvidenceDropped: (kind, count) => metrics.count(Count.EvidenceDropped, { kind }, count),
    exchange: { ...allowances.handlers, ...workerLoads.handlers, ...origins.handlers }
  })
  const stages = createStageTask({
    machine: settings.machine,
    directory,
    pool,
    timer,
    log,
    balance: options.stages,
    onAnswer: (response) => admission.recordAnswer(response),
    isLeaving: () => admission.isLeaving()
  })
  const listener = await listen({
    host: settings.ip, port: settings.internalPort, firstMessageTimeoutMs: 0, ...peerBounds, onConnection: (connection) => admission.addGateway(connection)
  })
  if (listener.err) log.error({ reason: listener.val.message }, 'not listening')
  const metrics = createPrometheusMetrics({
    ...(options.metricsPort === undefined ? {} : { listen: { host: settings.ip, port: options.metricsPort } }),
    gauges: {
      config_version: () => directory.routeTable()?.version ?? 0,
      view_age_ms: () => directory.ageMs(),
      store_era: () => directory.storeEra(),
      view_revision: () => directory.position().revision,
      room_tokens: () => admission.roomTokens(),
      gateways: () => admission.gateways(),
      allowance_gateways: () => allowances.gateways(),
      load_reporters: () => workerLoads.members(),
      stream_origins: () => origins.size(),
      log_lines_dropped: () => options.droppedLines?.() ?? 0
    },
    onServer (server) {
      const onClosed = (): void => metrics.count(Count.ConnectionsClosed, { address: 'metrics', reason: 'too_many' })
      if (bounds.checks !== undefined) boundConnections(server, { timer, maxConnections: bounds.checks, onClosed })
    },
    onError: (reason) => log.warn({ reason }, 'metrics not served')
  })
  function onRecordPassedOver (reason: string): void { metrics.count(Count.RecordsPassedOver, { reason }) }
  function onStoreCall (hasResponded: boolean): void { metrics.count(Count.StoreReads, { result: hasResponded ? 'answered' : 'failed' }) }

  let isReadingReport = false

  /** Returns the entry of the engine at the address; that of an earlier one stays for some seconds after its end. */
  function findOwnEntry (): WorkerEntry | undefined {
    const entries = directory.fleet.all().flatMap(({ entry }) => entry.address === settings.workerAddress ? [entry] : [])
    return entries.sort((a, b) => b.bornMs - a.bornMs)[0]
  }

  /** Tells whether a report may be that of the incarnation of an entry. */
  function isOf (entry: WorkerEntry, report: EngineReport | undefined): boolean {
    return report === undefined || report.bornMs === 0 || report.bornMs === entry.bornMs
  }

  async function readReport (): Promise<void> {
    const address = settings.workerAddress
    const entry = findOwnEntry()
    if (address === undefined || entry === undefined || isReadingReport || admission.isHeld()) return
    isReadingReport = true
    try {
      const response = await callJson(address, buildReportCall(), { pool, timer, timeoutMs: reportTimeoutMs })
      const report = response.err ? undefined : decodeEngineReport(response.val.body)
      if (response.ok) admission.setLimit(decodeResponseHead(response.val.status, response.val.headers).limitPerS)
      // The report may be that of another incarnation than the entry, whose word and room the entry's are not.
      if (report !== undefined && isOf(entry, report)) admission.onReport(entry, report)
      else admission.onSilence()
      if (response.ok && isOf(entry, report)) admission.recordAnswer(response.val, entry)
      if (report !== undefined && directory.hasReadStore()) await stages.onReport(entry, report)
    } catch (err) {
      log.error({ worker: entry.id, err }, 'report not applied')
    }
    isReadingReport = false
  }

  timer.every(reportPeriodMs, () => { readReport() })
  log.info({ worker: settings.workerAddress }, 'watching')
  return {
    stop: async () => {},
    async close () {
      if (listener.ok) await listener.val.close()
      await records.close()
      await view.close()
      await directory.close()
      await pool.close()
      metrics.close()
    }
  }
}
