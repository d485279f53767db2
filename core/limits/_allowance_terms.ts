/**
 * The terms into which the tolerance of an allowance is divided.
 */
import type { AllowanceLimit, AllowanceTolerance } from './_allowance_types.ts'

/** Share of the tolerance by which the bucket is deeper than the burst, so that few large requests are refused below the limit. */
const depthShare = 0.45
/** Share of the tolerance that is set aside for gateways that hear too few exchange points; half of it at once, half over a window. */
const isolatedShare = 0.3

/** Longest age in milliseconds of a level that a gateway uses. */
export const freshMs = 1000
/** Part of a level that a gateway spends before the point knows of it: this share, its equal part, or more by its share of the demand. */
export const unreportedShare = 0.25
export const unreportedFactor = 1.5

const msPerS = 1000
/** Shortest time in milliseconds between two reports of a gateway to a point, and its part for each gateway, which bounds what a point gets. */
const shortestReportMs = 100
const reportMsPerGateway = 1
/** Longest such time in milliseconds: levels are used for little longer, so that more gateways than that allows would all be isolated. */
const longestReportMs = 0.6 * freshMs

/** Returns the time in milliseconds between two reports of one of `gateways` to a point. */
export function getReportMs (gateways: number): number {
  return Math.min(longestReportMs, Math.max(shortestReportMs, reportMsPerGateway * gateways))
}

/** Tolerance of allowances as settings name it. */
export interface StatedTolerance {
  allowanceWindowMs?: number
  allowanceOverRatio?: number
  allowanceSlack?: number
}

/** Returns the tolerance that settings name, with strict values for what they leave out. */
export function getAllowanceTolerance (stated: StatedTolerance): AllowanceTolerance {
  return { windowMs: stated.allowanceWindowMs ?? 8_000, over: stated.allowanceOverRatio ?? 0.1, slack: stated.allowanceSlack ?? 0 }
}

/** Returns the units by which the sum over all gateways may exceed a limit in any window. */
function getTolerance (limit: AllowanceLimit, { windowMs, over, slack }: AllowanceTolerance): number {
  return over * (limit.perS * windowMs / msPerS + limit.burst) + slack
}

/** Returns the capacity of the bucket of a limit. */
export function getCapacity (limit: AllowanceLimit, tolerance: AllowanceTolerance): number {
  return limit.burst + depthShare * getTolerance(limit, tolerance)
}

/**
 * Returns the most units that a request may count: what the limit and its tolerance allow in a window. One unit is always allowed, as a
 * limit of requests may be less than one in a window.
 */
export function getLargestCost (limit: AllowanceLimit, tolerance: AllowanceTolerance): number {
  return Math.max(1, limit.perS * tolerance.windowMs / msPerS + limit.burst + getTolerance(limit, tolerance))
}

/** Returns what one of `gateways` that are all isolated may spend, so that together they stay within what is set aside. */
export function getIsolatedLimit (limit: AllowanceLimit, tolerance: AllowanceTolerance, gateways: number): AllowanceLimit {
  const part = isolatedShare * getTolerance(limit, tolerance) / Math.max(1, gateways) / 2
  return { perS: part * msPerS / tolerance.windowMs, burst: part }
}
