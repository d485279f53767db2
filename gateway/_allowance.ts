/**
 * The allowances of organisations at a gateway: what they spend here, and the exchange with the points at which all gateways are summed.
 */
import { Err, Ok } from '../core/results/mod.ts'
import { AllowanceRefusal, createAllowanceSpender, getAllowanceTolerance } from '../core/limits/mod.ts'
import { AllowanceUnit } from '../core/route/mod.ts'
import { Count } from '../metrics/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import type { Result } from '../core/results/mod.ts'
import type { AllowanceDenial } from '../core/limits/mod.ts'
import type { AllowanceRule, OrganisationRule } from '../core/route/mod.ts'
import type { Directory } from '../directory/mod.ts'
import type { Log } from '../log/mod.ts'
import type { PrometheusMetrics } from '../metrics/mod.ts'
import type { NodeSettings, RequestHead } from '../platform/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { SidecarClient } from './_sidecar_client.ts'

/** Configures the allowances of a gateway. */
export interface AllowancesOptions {
  settings: NodeSettings
  directory: Directory
  sidecars: SidecarClient
  timer: Timer
  log: Log
  metrics: PrometheusMetrics
  random: () => number
}

/** What was spent for one request. */
export interface SpentAllowance {
  /** Puts it back, because the request has not run; only the first call has an effect. */
  giveBack (): void
}

/** Why a request is refused, with the fields for the log. */
export interface RefusedAllowance extends Omit<AllowanceDenial, 'left'> {
  details: { organisation: string, cost: number, left: number | undefined, levelAgeMs: number }
}

/** Spends the allowances of organisations at a gateway. */
export interface Allowances {
  /**
   * Spends what a request counts, or returns why that may not be spent now. Nothing else may have been done for the request.
   *
   * @param organisation the organisation of the caller; one without an allowance spends nothing
   * @param head the head of the request
   * @param leftMs the time in milliseconds that the client still waits
   */
  spend (organisation: OrganisationRule | undefined, head: RequestHead, leftMs: number): Result<SpentAllowance, RefusedAllowance>
  /** Returns whether too few exchange points are heard, though allowances are in force. */
  isIsolated (): boolean
  /** Returns the age in milliseconds of the oldest levels in use; 0 while no allowance is in force or too few points are heard. */
  levelAgeMs (): number
  close (): void
}

const reportCheckMs = 100
/** Longest share of the time that a client has left for which it waits before it comes back. */
const honouredShare = 1 / 3
const free: SpentAllowance = { giveBack () {} }

/** Returns the units of an allowance that a request counts. */
function getCost (rule: AllowanceRule, { promptTokens, maxOutputTokens }: RequestHead): number {
  if (rule.unit === AllowanceUnit.Requests) return 1
  const tokens = promptTokens + maxOutputTokens
  return tokens > 0 ? tokens : rule.plainTokens
}

/** Creates the allowances of a gateway, and begins to report to the exchange points once an allowance is in force. */
export function createAllowances (options: AllowancesOptions): Allowances {
  const { settings, directory, sidecars, timer, log, metrics, random } = options
  const run = Math.floor(random() * 2 ** 48).toString(36)
  const spender = createAllowanceSpender({
    sender: `${settings.machine}/${run}`, tolerance: getAllowanceTolerance(settings), random, startMs: timer.now()
  })
  let points: readonly string[] = []
  /** Whether too few points were heard at the last check; undefined before any allowance was in force. */
  let wasIsolated: boolean | undefined

  function isInForce (): boolean {
    return directory.routeTable()?.organisations()?.some(({ allowance }) => allowance !== undefined) ?? false
  }

  function getLevelAgeMs (): number {
    return isInForce() && !spender.isIsolated(timer.now()) ? Math.round(spender.levelAgeMs(timer.now())) : 0
  }

  function sendReports (): void {
    for (const point of points) {
      const connection = sidecars.connectionNumber(point)
      const report = connection === undefined ? undefined : spender.createReport(point, connection, timer.now())
      if (report !== undefined) sidecars.sendToPoint(point, report)
    }
  }

  function check (): void {
    if (!isInForce()) return
    const chosen = sidecars.exchangePoints()
    if (chosen.join() !== points.join()) {
      points = chosen
      spender.setPoints(points)
      log.info({ points }, 'exchange points chosen')
    }
    sendReports()
    const isIsolated = spender.isIsolated(timer.now())
    if (isIsolated === wasIsolated) return
    wasIsolated = isIsolated
    const connected = points.filter((point) => sidecars.connectionNumber(point) !== undefined)
    if (isIsolated) log.warn({ points, connected }, 'exchange points not heard')
    else log.info({ points, connected }, 'exchange points heard')
  }

  sidecars.receive(MessageKind.AllowanceLevels, (point, msg) => spender.onLevels(point, msg, timer.now()))
  const checkTimer = timer.every(reportCheckMs, check)

  return {
    spend (organisation, head, leftMs) {
      const limit = organisation?.allowance
      if (organisation === undefined || limit === undefined) return Ok(free)
      const { name } = organisation
      const cost = getCost(limit, head)
      const result = spender.spend({ organisation: name, limit, cost, maxRetryAfterMs: leftMs * honouredShare }, timer.now())
      metrics.count(Count.AllowanceUnits, { organisation: name, result: result.err ? result.val.reason : 'spent' }, cost)
      if (result.err) {
        if (result.val.reason === AllowanceRefusal.Unreported) sendReports()
        const { left, ...denial } = result.val
        return Err({ ...denial, details: { organisation: name, cost, left, levelAgeMs: getLevelAgeMs() } })
      }
      let isGivenBack = false
      return Ok({
        giveBack () {
          if (isGivenBack) return
          isGivenBack = true
          spender.giveBack(name, cost)
          metrics.count(Count.AllowanceUnits, { organisation: name, result: 'given_back' }, cost)
        }
      })
    },
    isIsolated: () => isInForce() && spender.isIsolated(timer.now()),
    levelAgeMs: getLevelAgeMs,
    close: () => checkTimer.cancel()
  }
}
