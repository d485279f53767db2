/**
 * Types of the router.
 */
import type { ChoicePolicy } from '../records/mod.ts'
import type { Result } from '../results/mod.ts'
import type { Place, RefusalCode, Role, TierClass } from '../types/mod.ts'
import type { LoadReport } from '../../wire/mod.ts'

/** Names what is believed about a backend server. */
export enum BackendHealth {
  Live = 'live',
  /** Gets new work only when nothing live is left. */
  Suspect = 'suspect',
  Draining = 'draining',
  Gone = 'gone'
}

/** Names why a backend server was not chosen. */
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
  /** How far a prefix match may outweigh load, in seats. */
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
  /** Age in milliseconds at which a load report counts for nothing; 3000 by default. */
  reportStaleMs?: number
  /** Age in milliseconds at which a prefix hint is dropped; 10000 by default. */
  prefixStaleMs?: number
  /** Time in milliseconds without progress after which a backend server counts as stalled; 500 by default. */
  stallMs?: number
  /** Prefill time in milliseconds for each token until a prefill was observed; 0.2 by default. */
  prefillMsPerToken?: number
  /** True when KV cache may cross regions; false by default. */
  crossRegionKv?: boolean
}

/** Describes a backend server as the configuration records name it. */
export interface BackendInfo extends Place {
  name: string
  role: Role
  /** Model, or the name of the service. */
  serves: string
  version: string
  /** Share of new work relative to others; 0 drains. */
  weight: number
}

/** Describes the work for which a backend server is wanted. */
export interface BackendQuery {
  role: Role
  /** Model, or the name of the service. */
  model: string
  /** Version wanted; `*` accepts any. */
  version: string
  promptTokens: number
  /** Hashes of the prompt's prefixes, shortest first. */
  prefixes: string[]
  /** Number of prompt tokens that the longest prefix covers; all of them when absent. */
  prefixTokens?: number
  /** Names of backend servers that must not be chosen. */
  exclude: string[]
  /** Region outside of which nothing is chosen. */
  region?: string
}

/** Describes the work for which a pair of backend servers is wanted. */
export type BackendPairQuery = Omit<BackendQuery, 'role'>

/** Names a backend server that was not chosen and why. */
export interface RunnerUp {
  backend: string
  reason: NotChosenReason
}

/** Names the chosen backend server and the others. */
export interface Choice {
  backend: string
  /** Load, distance and affinity in seats; lower is better. */
  score: number
  runnersUp: RunnerUp[]
}

/** Names the chosen backend servers for prefill and decode. */
export interface PairChoice {
  prefill: Choice
  decode: Choice
}

/** Holds what a router believes about one backend server. */
export interface BackendView {
  info: BackendInfo
  health: BackendHealth
  report: LoadReport | undefined
  /** Time in milliseconds at which the report came. */
  reportAtMs: number
  /** Own requests and prompt tokens in flight. */
  ownRequests: number
  ownTokens: number
  /** Own requests and prompt tokens in flight when the report came. */
  ownRequestsAtReport: number
  ownTokensAtReport: number
  /** Time in milliseconds at which each prefix was last known to be held. */
  prefixes: Map<string, number>
  /** Learned prefill time in milliseconds for each token. */
  msPerToken: number
}

/** Chooses backend servers. */
export interface Router {
  /** Replaces the policy for later choices. */
  setPolicy (policy: RoutingPolicy): void
  /** Adds a backend server or changes what its record says. */
  upsert (info: BackendInfo): void
  /** Forgets a backend server. */
  remove (backend: string): void
  /** Takes in what connections, the host list and peers tell about a backend server. */
  setHealth (backend: string, health: BackendHealth): void
  /** Takes in a load report; reports that are older than the last one are dropped. */
  onLoad (report: LoadReport, nowMs: number): void
  /** Counts own work of `tokens` prompt tokens that was sent to a backend server. */
  recordStart (backend: string, tokens: number): void
  /** Counts own work that ended. */
  recordEnd (backend: string, tokens: number): void
  /** Notes that a backend server holds prompt prefixes. */
  recordPrefixes (backend: string, prefixes: string[], nowMs: number): void
  /** Takes in the time in milliseconds that a prefill of `tokens` tokens ran, without its wait. */
  observePrefill (backend: string, tokens: number, elapsedMs: number): void
  /** Chooses one backend server. */
  choose (wanted: BackendQuery, nowMs: number): Result<Choice, RefusalCode>
  /** Chooses a prefill and a decode backend server in the same region. */
  choosePair (wanted: BackendPairQuery, nowMs: number): Result<PairChoice, RefusalCode>
  /**
   * Estimates the time in milliseconds that a reservation for `promptTokens` tokens waits at the decode backend server
   * that is ready first; 0 when one has room now.
   */
  estimateReserveMs (wanted: BackendQuery, tierClass: TierClass, nowMs: number): number
  /**
   * Estimates the time in milliseconds until a prefill sent now to the prefill backend server that is ready first ends;
   * 0 when one is idle, because no wait can be avoided there and only new work corrects the learned speed.
   */
  estimateBestPrefillMs (wanted: BackendQuery, tierClass: TierClass, nowMs: number): number
  /** Estimates the time in milliseconds until a prefill of `promptTokens` tokens sent now has finished. */
  estimateFirstTokenMs (backend: string, promptTokens: number, tierClass: TierClass, nowMs: number): number
  /** Returns what is believed about every backend server. */
  views (): BackendView[]
}
