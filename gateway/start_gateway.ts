/**
 * Starts a gateway, the process between the clients and the workers of the platform.
 */
import { divideProcess } from '../core/bounds/mod.ts'
import { Err, Ok } from '../core/results/mod.ts'
import { createDirectory, listStoreReaders, shareView, syncRecords } from '../directory/mod.ts'
import { PlacementPolicy } from '../core/cost/mod.ts'
import { createByteBudget } from '../core/stream/mod.ts'
import { createExchangePool } from '../exchange/mod.ts'
import { boundConnections } from '../http/mod.ts'
import { Count, createPrometheusMetrics } from '../metrics/mod.ts'
import { parseAddress } from '../wire/mod.ts'
import { createAllowances } from './_allowance.ts'
import { createReadyServer } from './_ready_server.ts'
import { createPromptGuard } from './_prompt_guard.ts'
import { getRoundTripMs } from './_get_round_trip_ms.ts'
import { createWorkerLoads } from './_worker_loads.ts'
import { createPlainPlacement } from './_place_plain.ts'
import { createRetryBudgets } from './_retry_budgets.ts'
import { createSidecarClient } from './_sidecar_client.ts'
import { createStreamOrigins } from './_stream_origins.ts'
import { createClientServer } from './_client_server.ts'
import type { Server } from 'node:http'
import type { Result } from '../core/results/mod.ts'
import type { BoundedConnections } from '../http/mod.ts'
import type { Log } from '../log/mod.ts'
import type { NodeSettings } from '../platform/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { GatewayContext } from './_types.ts'

/** Configures a gateway. */
export interface GatewayOptions {
  settings: NodeSettings
  timer: Timer
  log: Log
  random: () => number
  /** How requests of plain services are placed; by latency by default. */
  placement?: PlacementPolicy
  /** Port at which metrics are served; they are not served when it is absent. */
  metricsPort?: number
  /** Returns the number of log lines that were dropped. */
  droppedLines?: () => number
}

/** A running gateway. */
export interface Gateway {
  /** Finishes the requests in flight while the load balancer removes the process; resolves when the process may exit. */
  stop (): Promise<void>
  /** Closes all connections at once. */
  close (): Promise<void>
}

/** Number of gateways that are assumed to share the retry budget until a sidecar reports how many there are. */
const assumedGateways = 8
/** Time in milliseconds for which the load balancer may still open connections: two readiness checks a second apart, and a margin. */
const balancerRemovalMs = 3_000
/** Time in milliseconds before the end of the grace period at which the process exits. */
const exitMarginMs = 400
const drainCheckMs = 50
/** Longest time in milliseconds for which the process waits until the responses to the requests that it stops have been sent. */
const finalResponseMs = 150
const finalCheckMs = 10
/** Largest first frame that a process may send, in bytes. */
const maxFirstFrameBytes = 65_536

/**
 * Starts a gateway.
 *
 * @param options settings, timer, log and a source of randomness
 * @returns the running gateway, or why it cannot listen at an address
 *
 * @example
 * ```ts
 * import { startGateway } from 'briarloom/gateway'
 *
 * console.assert(typeof startGateway === 'function')
 * ```
 */
export async function startGateway (options: GatewayOptions): Promise<Result<Gateway, string>> {
  const { settings, timer, log, random } = options
  const bounds = divideProcess(settings)
  let lastKnownGateways = assumedGateways
  let isStopping = false
  const directory = createDirectory({
    storeAddress: settings.storeAddress, timer, log, random, ruleParts: settings, onRules: (table) => clientServer.setLimits(table.limits), onStoreCall, onRecordPassedOver
  })
  const metrics = createPrometheusMetrics({
    ...(options.metricsPort === undefined ? {} : { listen: { host: settings.ip, port: options.metricsPort } }),
    gauges: {
      organisations: () => directory.routeTable()?.organisations()?.length ?? 0,
      keys: () => directory.routeTable()?.organisations()?.reduce((sum, { keys }) => sum + keys.length, 0) ?? 0,
      config_version: () => directory.routeTable()?.version ?? 0,
      view_age_ms: () => directory.ageMs(),
      store_era: () => directory.storeEra(),
      view_revision: () => directory.position().revision,
      workers: () => directory.fleet.all().length,
      gateways,
      sidecars: () => directory.fleet.all().filter((worker) => worker.capacity !== undefined).length,
      requests_in_flight: () => clientServer.inFlight(),
      limited_workers: () => directory.fleet.all().filter((worker) => worker.pacer !== undefined).length,
      leaving_workers: () => directory.fleet.all().filter((worker) => worker.word.leavingSinceMs !== undefined).length,
      held_workers: () => directory.fleet.all().filter((worker) => worker.word.hold.untilMs() > timer.now()).length,
      held_bytes: () => heldBytes.heldBytes(),
      allowance_isolated: () => Number(allowances.isIsolated()),
      allowance_level_age_ms: () => allowances.levelAgeMs(),
      held_bytes_max: () => heldBytes.maxBytes,
      client_connections: () => clients?.count() ?? 0,
      requests_waiting: () => context.plainPlacement.waiting(),
      quarantines: () => promptGuard.quarantines(),
      stream_origins: () => streamOrigins.size(),
      log_lines_dropped: () => options.droppedLines?.() ?? 0
    },
    onServer: (server) => bound(server, 'metrics', bounds.checks),
    onError: (reason) => log.warn({ reason }, 'metrics not served')
  })
  function bound (server: Server, address: string, maxConnections: number | undefined): BoundedConnections | undefined {
    const onClosed = (): void => metrics.count(Count.ConnectionsClosed, { address, reason: 'too_many' })
    return maxConnections === undefined ? undefined : boundConnections(server, { timer, maxConnections, onClosed })
  }

  function onRecordPassedOver (reason: string): void { metrics.count(Count.RecordsPassedOver, { reason }) }
  function onStoreCall (hasResponded: boolean): void { metrics.count(Count.StoreReads, { result: hasResponded ? 'answered' : 'failed' }) }

  const sidecars = createSidecarClient({
    port: settings.internalPort,
    directory,
    timer,
    log,
    random,
    needsPoints: settings.hasAllowances === true,
    onEvidence: (evidence) => promptGuard.merge(evidence)
  })
  const promptGuard = createPromptGuard({ directory, timer, log, metrics, sendEvidence: sidecars.sendEvidence })

  const allowances = createAllowances({ settings, directory, sidecars, timer, log, metrics, random })

  const streamOrigins = createStreamOrigins({ directory, sidecars, regions: settings.regions, timer, log })

  const heldBytes = createByteBudget({ maxBytes: bounds.heldBytes })

  const workerLoads = createWorkerLoads({ sidecars, timer, name: settings.machine, policy: options.placement ?? PlacementPolicy.Latency, incarnation: timer.wallClockMs() })
  const context: GatewayContext = {
    workerLoads,
    plainPlacement: createPlainPlacement(() => context),
    metrics,
    settings,
    timer,
    log,
    directory,
    pool: createExchangePool(),
    controlPool: createExchangePool(),
    sidecars,
    promptGuard,
    streamOrigins,
    allowances,
    heldBytes,
    random,
    gatewayCount: gateways,
    retryBudget: createRetryBudgets({ settings, metrics, memberCount: gateways, startedAtMs: timer.now() }),
    roundTripMs: (zone) => getRoundTripMs(settings, zone)
  }

  /** Returns the number of gateways: the largest that a connected sidecar reports, or the last known one when none is connected. */
  function gateways (): number {
    const reported = Math.max(0, ...directory.fleet.all().map(({ capacity }) => capacity?.gateways ?? 0))
    if (reported > 0) lastKnownGateways = reported
    return lastKnownGateways
  }

  const clientServer = createClientServer(context)
  const clients = bound(clientServer.server, 'front', bounds.clients)
  const peerAddress = settings.peerAddress === undefined ? {} : { address: settings.peerAddress }
  const peerBounds = { maxFirstFrameBytes, ...(bounds.peers === undefined ? {} : { maxConnections: bounds.peers }) }
  const records = await syncRecords({ directory, timer, log, seeds: settings.seeds, ...peerAddress, bounds: peerBounds })

  const { regions, zone, internalPort } = settings
  const readers = (): string[] => listStoreReaders({ fleet: directory.fleet, regions, zone, internalPort })
  const view = await shareView({ directory, timer, log, readers })

  function isReady (): boolean {
    if (isStopping) return false
    const table = directory.routeTable()
    return table !== undefined && table.listServices().some((service) => directory.fleet.serving(service.name).length > 0)
  }

  const readinessServer = createReadyServer(isReady)
  bound(readinessServer, 'ready', bounds.checks)

  async function close (): Promise<void> {
    clientServer.close()
    readinessServer.close()
    readinessServer.closeAllConnections()
    promptGuard.close()
    streamOrigins.close()
    allowances.close()
    workerLoads.close()
    sidecars.close()
    await records.close()
    await view.close()
    await directory.close()
    await context.pool.close()
    await context.controlPool.close()
    metrics.close()
  }

  for (const [server, address] of [[clientServer.server, settings.clientAddress], [readinessServer, settings.readyAddress]] as const) {
    const listening = await listen(server, address)
    if (listening.ok) continue
    await close()
    return listening
  }
  log.info({ address: settings.clientAddress, zone: settings.zone }, 'listening')

  return Ok({
    async stop () {
      isStopping = true
      clientServer.drain(settings.graceMs - exitMarginMs)
      log.info({ inFlight: clientServer.inFlight() }, 'stopping')
      const stopStartMs = timer.now()
      const untilMs = stopStartMs + settings.graceMs - exitMarginMs
      while (timer.now() < untilMs) {
        if (clientServer.inFlight() === 0 && timer.now() - stopStartMs > balancerRemovalMs) break
        await new Promise<void>((resolve) => { timer.after(drainCheckMs, resolve) })
      }
      log.info({ inFlight: clientServer.inFlight() }, 'stopped')
      clientServer.stopRequests()
      const sentByMs = timer.now() + finalResponseMs
      while (clientServer.inFlight() > 0 && timer.now() < sentByMs) {
        await new Promise<void>((resolve) => { timer.after(finalCheckMs, resolve) })
      }
    },
    close
  })
}

async function listen (server: Server, address: string | undefined): Promise<Result<void, string>> {
  if (address === undefined) return Ok.EMPTY
  const target = parseAddress(address)
  if (target.err) return Err(target.val.message)
  return await new Promise((resolve) => {
    server.once('error', (err) => resolve(Err(`${address}: ${err.message}`)))
    server.listen(target.val.port, target.val.host, () => resolve(Ok.EMPTY))
  })
}
