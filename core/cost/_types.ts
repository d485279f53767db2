/**
 * Types for the cost of requests and for the work that workers still have to do.
 */

/** Names the ways in which requests of plain services are placed. */
export enum PlacementPolicy {
  /** By the mean latency of each worker and the requests of this process there. */
  Latency = 'latency',
  /** By the expected time until the answer, from the work of the request and what all processes have at each worker. */
  Completion = 'completion'
}

/** Names what a report of loads is about; the values travel in messages. */
export enum LoadTopic {
  /** Requests at workers of plain services, and how slow these are. */
  Plain = 'plain',
  /** Time in milliseconds that decode engines take for each token of a prompt, as the slowness. */
  Reads = 'reads'
}

/** What a worker still has to do. */
export interface WorkerLoad {
  /** Requests that it has not answered yet. */
  requests: number
  /** Their expected work, in milliseconds of a worker of mean speed. */
  workMs: number
}

/** What one process has at a worker, and what it has measured of it. */
export interface LoadEntry extends WorkerLoad {
  /** Identity of the incarnation of the worker. */
  worker: string
  /** Time that the worker takes relative to the mean of its service: 2 takes twice as long. */
  slowness: number
  /** Number of recent measurements behind `slowness`; older ones count less. */
  samples: number
}

/** A worker as the choice by completion sees it. */
export interface Candidate extends WorkerLoad {
  /** Time in milliseconds that does not depend on its work: round trip, delay of the send, expected cost of a failure. */
  fixedMs: number
  /** Requests that it processes concurrently. */
  slots: number
  slowness: number
}
