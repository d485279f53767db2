/**
 * One caller's usage of this entry, and the demand that is published to the other entries.
 */
import { createBucket } from './_bucket.ts'
import type { Bucket } from './_bucket.ts'
import type { Demand } from './_peer_demands.ts'

const smoothingFactor = 0.1
// Factor above the mean, so that noise in the demand of a lightly used entry causes few refusals.
const demandHeadroom = 1.05
const negligibleDemandPerS = 0.01
const waitingRetentionPeriods = 5

/** Usage of this entry by one caller. */
export interface CallerUsage {
  requests: Bucket
  tokens: Bucket
  /** Admitted requests that have not been released. */
  inFlight: number
  /** Requests offered since the last message. */
  offeredRequests: number
  /** Tokens offered since the last message. */
  offeredTokens: number
  /** Requests refused because of the concurrency limit since the last message. */
  refusedForConcurrency: number
  /** Number of periods for which `published.waiting` is still retained. */
  waitingPeriodsLeft: number
  /** Demand in the last message. */
  published: Demand
}

/** Creates the usage of a caller that has sent no request. */
export function createCallerUsage (): CallerUsage {
  return {
    requests: createBucket(),
    tokens: createBucket(),
    inFlight: 0,
    offeredRequests: 0,
    offeredTokens: 0,
    refusedForConcurrency: 0,
    waitingPeriodsLeft: 0,
    published: { requests: 0, tokens: 0, concurrency: 0, waiting: 0 }
  }
}

function smoothDemand (before: number, sample: number): number {
  const next = before + smoothingFactor * (sample * demandHeadroom - before)
  return next < negligibleDemandPerS ? 0 : next
}

// A refused caller retries after a while, so its demand is retained beyond the period in which it was refused.
function updateWaiting (usage: CallerUsage): number {
  usage.waitingPeriodsLeft -= 1
  if (usage.refusedForConcurrency < usage.published.waiting && usage.waitingPeriodsLeft > 0) return usage.published.waiting
  usage.waitingPeriodsLeft = waitingRetentionPeriods
  return usage.refusedForConcurrency
}

/** Ends a period of `elapsedMs` milliseconds and returns the demand to publish. */
export function closePeriod (usage: CallerUsage, elapsedMs: number): Demand {
  const seconds = Math.max(elapsedMs, 1) / 1000
  usage.published = {
    requests: smoothDemand(usage.published.requests, usage.offeredRequests / seconds),
    tokens: smoothDemand(usage.published.tokens, usage.offeredTokens / seconds),
    concurrency: usage.inFlight,
    waiting: updateWaiting(usage)
  }
  usage.offeredRequests = 0
  usage.offeredTokens = 0
  usage.refusedForConcurrency = 0
  return usage.published
}

/** Returns whether every value of a demand is 0. */
export function isZeroDemand (demand: Demand): boolean {
  return Object.values(demand).every((value) => value === 0)
}
