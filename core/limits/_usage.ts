/**
 * What one caller offered and used at this entry.
 */
import { createBucket } from './_bucket.ts'
import type { Bucket } from './_bucket.ts'
import type { Demand } from './_peers.ts'

const smoothing = 0.3
// Demand is published with some slack, so that noise in it costs no capacity.
const slack = 1.1
const negligible = 0.01

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
  demand: Demand
  /** The last two demands that were published. */
  published: Demand
  publishedBefore: Demand
}

const nothing: Demand = { requests: 0, tokens: 0, concurrency: 0 }

/** Creates the state of a caller that offered nothing yet. */
export function createUsage (): Usage {
  return {
    requests: createBucket(),
    tokens: createBucket(),
    inFlight: 0,
    offeredRequests: 0,
    offeredTokens: 0,
    refused: 0,
    demand: nothing,
    published: nothing,
    publishedBefore: nothing
  }
}

function smooth (before: number, sample: number): number {
  const next = before + smoothing * (sample - before)
  return next < negligible ? 0 : next
}

/** Closes a period of `elapsedMs` milliseconds and returns the demand to publish. */
export function publish (usage: Usage, elapsedMs: number): Demand {
  const seconds = Math.max(elapsedMs, 1) / 1000
  usage.demand = {
    requests: smooth(usage.demand.requests, usage.offeredRequests / seconds),
    tokens: smooth(usage.demand.tokens, usage.offeredTokens / seconds),
    concurrency: usage.inFlight + usage.refused
  }
  usage.offeredRequests = 0
  usage.offeredTokens = 0
  usage.refused = 0
  usage.publishedBefore = usage.published
  usage.published = {
    requests: usage.demand.requests * slack,
    tokens: usage.demand.tokens * slack,
    concurrency: usage.demand.concurrency
  }
  return usage.published
}

/** Returns the own demand that every other entry has had a period to learn of. */
export function knownDemand (usage: Usage, measure: keyof Demand): number {
  return Math.min(usage.published[measure], usage.publishedBefore[measure])
}

/** Tells whether nothing is left to remember. */
export function isIdle (usage: Usage): boolean {
  const { published, publishedBefore, inFlight } = usage
  return inFlight === 0 && [published, publishedBefore].every((demand) => demand.requests === 0 && demand.tokens === 0)
}
