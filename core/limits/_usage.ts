/**
 * What one caller offered and used at this entry.
 */
import { createBucket } from './_bucket.ts'
import type { Bucket } from './_bucket.ts'
import type { Demand } from './_peers.ts'

const smoothing = 0.1
// Room above the mean, so that noise in the demand of a lightly used entry costs few requests.
const slack = 1.05
const negligible = 0.01
const waitingPeriods = 5

/** Holds the state of one caller. */
export interface Usage {
  requests: Bucket
  tokens: Bucket
  inFlight: number
  /** Offered since the last message. */
  offeredRequests: number
  offeredTokens: number
  /** Requests refused for concurrency since the last message. */
  refused: number
  /** Number of messages for which `published.waiting` still holds. */
  waitingLeft: number
  published: Demand
}

/** Creates the state of a caller that offered nothing yet. */
export function createUsage (): Usage {
  return {
    requests: createBucket(),
    tokens: createBucket(),
    inFlight: 0,
    offeredRequests: 0,
    offeredTokens: 0,
    refused: 0,
    waitingLeft: 0,
    published: { requests: 0, tokens: 0, concurrency: 0, waiting: 0 }
  }
}

function smooth (before: number, sample: number): number {
  const next = before + smoothing * (sample * slack - before)
  return next < negligible ? 0 : next
}

// A refused caller comes back after a while, so its wish outlives the period in which it was refused.
function waiting (usage: Usage): number {
  usage.waitingLeft -= 1
  if (usage.refused < usage.published.waiting && usage.waitingLeft > 0) return usage.published.waiting
  usage.waitingLeft = waitingPeriods
  return usage.refused
}

/** Closes a period of `elapsedMs` milliseconds and returns the demand to publish. */
export function publish (usage: Usage, elapsedMs: number): Demand {
  const seconds = Math.max(elapsedMs, 1) / 1000
  usage.published = {
    requests: smooth(usage.published.requests, usage.offeredRequests / seconds),
    tokens: smooth(usage.published.tokens, usage.offeredTokens / seconds),
    concurrency: usage.inFlight,
    waiting: waiting(usage)
  }
  usage.offeredRequests = 0
  usage.offeredTokens = 0
  usage.refused = 0
  return usage.published
}

/** Tells whether a demand says nothing. */
export function isNothing (demand: Demand): boolean {
  return Object.values(demand).every((value) => value === 0)
}
