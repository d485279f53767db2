/**
 * Starts the process that stands between clients and workers on the platform.
 */
import { createServer } from 'node:http'
import { Err, Ok } from '../core/results/mod.ts'
import { createSharedRetryBudget } from '../core/retry/mod.ts'
import { createDirectory, syncRecords } from '../directory/mod.ts'
import { createExchangePool } from '../exchange/mod.ts'
import { Count, createServedMetrics } from '../metrics/mod.ts'
import { readyPath } from '../platform/mod.ts'
import { parseAddress } from '../wire/mod.ts'
import { createSidecarClient } from './_sidecar_client.ts'
import { createClientServer } from './_client_server.ts'
import type { Server } from 'node:http'
import type { Result } from '../core/results/mod.ts'
import type { SharedRetryBudget } from '../core/retry/mod.ts'
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
  /** Port at which metrics are served; nowhere when absent. */
  metricsPort?: number
  /** Number of log lines that were dropped. */
  droppedLines?: () => number
}

/** A running gateway. */
export interface Gateway {
  /** Finishes what is in flight while the balancer takes the process out; resolves when it may exit. */
  stop (): Promise<void>
  close (): Promise<void>
}

/** Round trips in milliseconds within a zone, a region, and between regions: first guesses, before any is measured. */
const zoneTripMs = 1
const regionTripMs = 4
const farTripMs = 42
/** Number of gateways that share the bound on repeated sends while no process beside an engine has told how many there are. */
const assumedGateways = 8
/** Time in milliseconds for which the balancer may still send connections: two checks a second apart, and a margin. */
const balancerMs = 3_000
/** Time in milliseconds before the end of the grace period at which the process ends. */
const exitMarginMs = 400
const drainCheckMs = 50

/**
 * Starts a gateway.
 *
 * @param options settings, timer, log and a source of randomness
 * @returns the gateway, which listens, or why an address cannot be used
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
  const budgets = new Map<string, SharedRetryBudget>()
  const startedMs = timer.now()
  let knownGateways = assumedGateways
  let stopping = false
  const directory = createDirectory({
    storeAddress: settings.storeAddress, timer, log, random, onRules: (table) => front.setLimits(table.limits), onStoreCall: onRead
  })
  const metrics = createServedMetrics({
    ...(options.metricsPort === undefined ? {} : { listen: { host: settings.ip, port: options.metricsPort } }),
    gauges: {
      config_version: () => directory.routeTable()?.version ?? 0,
      view_age_ms: () => directory.ageMs(),
      workers: () => directory.fleet.all().length,
      gateways,
      sidecars: () => directory.fleet.all().filter((worker) => worker.capacity !== undefined).length,
      requests_in_flight: () => front.inFlight(),
      log_lines_dropped: () => options.droppedLines?.() ?? 0
    },
    onError: (reason) => log.warn({ reason }, 'metrics not served')
  })
  function onRead (answered: boolean): void { metrics.count(Count.StoreReads, { result: answered ? 'answered' : 'failed' }) }

  const shared: GatewayContext = {
    metrics,
    settings,
    timer,
    log,
    directory,
    pool: createExchangePool(),
    controlPool: createExchangePool(),
    sidecars: createSidecarClient({ port: settings.internalPort, directory, timer, log }),
    random,
    retryBudget (service) {
      const found = budgets.get(service)
      if (found !== undefined) return found
      const { retryRatio: ratio, retrySlack: slack, retryWindowMs: windowMs } = settings
      const made = createSharedRetryBudget({ ratio, slack, windowMs, memberCount: gateways, startedAtMs: startedMs })
      const counted: SharedRetryBudget = {
        ...made,
        take (nowMs) {
          const granted = made.take(nowMs)
          if (!granted) metrics.count(Count.RetriesDenied, { service })
          return granted
        }
      }
      budgets.set(service, counted)
      return counted
    },
    roundTripMs (zone) {
      if (zone === settings.zone) return zoneTripMs
      return settings.regions[zone] === settings.regions[settings.zone] ? regionTripMs : farTripMs
    }
  }

  /** Returns the number of gateways: the most that a process beside an engine serves, or served when it was last heard. */
  function gateways (): number {
    const heard = Math.max(0, ...directory.fleet.all().map(({ capacity: room }) => room?.gateways ?? 0))
    if (heard > 0) knownGateways = heard
    return knownGateways
  }

  const front = createClientServer(shared)
  const peerAddress = settings.peerAddress === undefined ? {} : { address: settings.peerAddress }
  const records = await syncRecords({ directory, timer, log, seeds: settings.seeds, ...peerAddress })

  function isReady (): boolean {
    if (stopping) return false
    const table = directory.routeTable()
    return table !== undefined && table.listServices().some((service) => directory.fleet.serving(service.name).length > 0)
  }

  const ready = createServer((req, res) => {
    const status = req.url !== readyPath ? 404 : isReady() ? 200 : 503
    res.writeHead(status, { 'Content-Length': 0 })
    res.end()
  })

  async function close (): Promise<void> {
    front.server.close()
    front.server.closeAllConnections()
    ready.close()
    ready.closeAllConnections()
    shared.sidecars.close()
    await records.close()
    await directory.close()
    await shared.pool.close()
    await shared.controlPool.close()
    metrics.close()
  }

  for (const [server, address] of [[front.server, settings.clientAddress], [ready, settings.readyAddress]] as const) {
    const listening = await listen(server, address)
    if (listening.ok) continue
    await close()
    return listening
  }
  log.info({ address: settings.clientAddress, zone: settings.zone }, 'listening')

  return Ok({
    async stop () {
      stopping = true
      front.drain(settings.graceMs - exitMarginMs)
      log.info({ inFlight: front.inFlight() }, 'stopping')
      const stoppedMs = timer.now()
      const untilMs = stoppedMs + settings.graceMs - exitMarginMs
      while (timer.now() < untilMs) {
        if (front.inFlight() === 0 && timer.now() - stoppedMs > balancerMs) break
        await new Promise<void>((resolve) => { timer.after(drainCheckMs, resolve) })
      }
      log.info({ inFlight: front.inFlight() }, 'stopped')
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
