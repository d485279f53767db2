/**
 * Types for the router.
 */
import type { ChoicePolicy } from '../records/mod.ts'
import type { Result } from '../results/mod.ts'
import type { Place, RefusalCode, Role, TierClass } from '../types/mod.ts'
import type { LoadReport } from '../../wire/mod.ts'

/** Names the health of a backend server as far as the router knows it. */
export enum BackendHealth {
  Live = 'live',
  /** Receives new work only when no live backend server is left. */
  Suspect = 'suspect',
  Draining = 'draining',
  Gone = 'gone'
}

/** Names the reasons why a backend server was not chosen. */
export enum NotChosenReason {
  OtherRole = 'other_role',
  OtherModel = 'other_model',
  OtherRegion = 'other_region',
  Excluded = 'excluded',
  Draining = 'draining',
  Gone = 'gone',
  Suspect = 'suspect',
  Stalled = 'stalled',
  HigherLoad = 'higher_load',
  FartherAway = 'farther_away',
  NoPrefix = 'no_prefix',
  NotSampled = 'not_sampled',
  NotInTurn = 'not_in_turn'
}

/** Holds the parts of a policy record that the router needs. */
export interface RoutingPolicy {
  choice: ChoicePolicy
  /** Highest difference of load that a prefix match may outweigh, in seats. */
  affinitySeats: number
  /** Share of seats and memory that only paid work may use, from 0 to 1; 0 when absent. */
  paidHeadroom?: number
}

/** Configures a router. */
export interface RouterOptions {
  policy: RoutingPolicy
  /** Place of the process that routes. */
  place: Place
  /** Returns a number from 0 up to but not including 1. */
  random: () => number
  /** Age in milliseconds at which a load report no longer counts; 3000 by default. */
  reportStaleMs?: number
  /** Age in milliseconds at which a prefix hint no longer counts; 10000 by default. */
  prefixStaleMs?: number
  /** Time in milliseconds without progress after which a backend server counts as stalled; 500 by default. */
  stallMs?: number
  /** Prefill time in milliseconds for each token before the first observation; 0.2 by default. */
  prefillMsPerToken?: number
  /** True when KV cache may be sent to another region; false by default. */
  crossRegionKv?: boolean
}

/** Describes a backend server as its configuration record does. */
export interface BackendInfo extends Place {
  name: string
  role: Role
  /** Model, or the name of the service. */
  serves: string
  version: string
  /** Share of new work relative to other backend servers; 0 drains it. */
  weight: number
}

/** Describes the request for which a backend server is chosen. */
export interface BackendQuery {
  role: Role
  /** Model, or the name of the service. */
  model: string
  /** Version of the model; `*` accepts any. */
  version: string
  promptTokens: number
  /** Hashes of the prompt's prefixes, shortest first. */
  prefixes: string[]
  /** Number of prompt tokens that the longest prefix covers; all prompt tokens when absent. */
  prefixTokens?: number
  /** Names of backend servers that must not be chosen. */
  exclude: string[]
  /** Region to which the choice is limited; any region when absent. */
  region?: string
}

/** Describes the request for which a prefill and a decode backend server are chosen. */
export type BackendPairQuery = Omit<BackendQuery, 'role'>

/** Names a backend server that was not chosen and why. */
export interface RunnerUp {
  backend: string
  reason: NotChosenReason
}

/** Names the chosen backend server and those that were not chosen. */
export interface Choice {
  backend: string
  /** Load plus distance minus prefix affinity, in seats; lower is better. */
  score: number
  runnersUp: RunnerUp[]
}

/** Names the chosen backend servers for prefill and decode. */
export interface PairChoice {
  prefill: Choice
  decode: Choice
}

/** Holds what a router knows about one backend server. */
export interface BackendView {
  info: BackendInfo
  health: BackendHealth
  /** Newest load report. */
  report: LoadReport | undefined
  /** Time in milliseconds at which the report was received. */
  reportAtMs: number
  /** Requests of this router in flight, and their prompt tokens. */
  ownRequests: number
  ownTokens: number
  /** Requests of this router in flight, and their prompt tokens, when the report was received. */
  ownRequestsAtReport: number
  ownTokensAtReport: number
  /** Time in milliseconds at which the backend server was last known to hold each prefix. */
  prefixes: Map<string, number>
  /** Measured prefill time in milliseconds for each token. */
  msPerToken: number
}

/** Chooses backend servers. */
export interface Router {
  /** Replaces the policy for later choices. */
  setPolicy (policy: RoutingPolicy): void
  /** Adds a backend server or replaces its description. */
  upsert (info: BackendInfo): void
  /** Removes a backend server. */
  remove (backend: string): void
  /** Sets the health of a backend server, as known from connections, the host list and peers. */
  setHealth (backend: string, health: BackendHealth): void
  /** Stores a load report; reports that are older than the last one are dropped. */
  onLoad (report: LoadReport, nowMs: number): void
  /** Records a request with `tokens` prompt tokens as sent to a backend server. */
  recordStart (backend: string, tokens: number): void
  /** Records a request with `tokens` prompt tokens as ended. */
  recordEnd (backend: string, tokens: number): void
  /** Records that a backend server holds prompt prefixes. */
  recordPrefixes (backend: string, prefixes: string[], nowMs: number): void
  /** Records the run time in milliseconds of a prefill of `tokens` tokens, without its wait. */
  observePrefill (backend: string, tokens: number, elapsedMs: number): void
  /** Chooses one backend server; refuses with `ModelNotServed` or `NoBackend` when there is no candidate. */
  choose (query: BackendQuery, nowMs: number): Result<Choice, RefusalCode>
  /** Chooses a prefill and a decode backend server, in one region unless KV cache may be sent to another; refuses as `choose` does. */
  choosePair (query: BackendPairQuery, nowMs: number): Result<PairChoice, RefusalCode>
  /**
   * Estimates the time in milliseconds that a reservation for the prompt waits at the decode backend server with the shortest
   * wait; 0 when one has capacity now.
   */
  estimateReserveMs (query: BackendQuery, tierClass: TierClass, nowMs: number): number
  /**
   * Estimates the time in milliseconds until a prefill sent now would finish at the prefill backend server that finishes first.
   *
   * Returns 0 when one is idle: no wait can be avoided there, and only new work corrects the measured speed.
   */
  estimateBestPrefillMs (query: BackendQuery, tierClass: TierClass, nowMs: number): number
  /** Estimates the time in milliseconds until a prefill sent now to a backend server has finished; 0 when it is not known. */
  estimateFirstTokenMs (backend: string, promptTokens: number, tierClass: TierClass, nowMs: number): number
  /** Returns the views of all backend servers. */
  views (): BackendView[]
}
