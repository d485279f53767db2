/**
 * Types of configuration records in their internal form. The key of a record is its kind, a slash and its name.
 */
import type { Place, Role, TierClass } from '../types/mod.ts'

/** Kinds of configuration records. */
export enum RecordKind {
  Tier = 'tier',
  Caller = 'caller',
  Model = 'model',
  Backend = 'backend',
  Service = 'service',
  Policy = 'policy'
}

/** Policies for when to reserve at the decode backend server. */
export enum ReservePolicy {
  /** Reserves after the prefill has ended. */
  PrefillFirst = 'prefill_first',
  /** Reserves before the prefill is sent. */
  ReserveFirst = 'reserve_first',
  /** Reserves shortly before the estimated end of the prefill, or first when no backend server has capacity. */
  Predicted = 'predicted'
}

/** Policies for the choice among backend servers. */
export enum ChoicePolicy {
  PowerOfTwo = 'power_of_two',
  LeastLoaded = 'least_loaded',
  RoundRobin = 'round_robin',
  Random = 'random'
}

/** Policies for admission. */
export enum AdmissionPolicy {
  /** Paid work before free work, with headroom for paid work and early refusal. */
  Tiered = 'tiered',
  /** First come, first served, without tiers; a baseline for comparison. */
  Fifo = 'fifo'
}

/** Policies for which model and role each engine serves. */
export enum PlacementPolicy {
  /** Each engine serves the model and role of its own record. */
  Records = 'records',
  /** Each agent computes the model and role of its engine from the model records and the live hosts. */
  Balanced = 'balanced'
}

/** A tier: the models that its callers may use, and their latency targets. */
export interface TierRecord {
  kind: RecordKind.Tier
  name: string
  tierClass: TierClass
  /** Models and versions that callers of the tier may use; the version `*` stands for all. */
  models: Array<{ model: string, version: string }>
  /** Target for the time to the first token, in milliseconds. */
  firstTokenMs: number
  /** Target for the time between tokens, in milliseconds. */
  betweenTokensMs: number
}

/** A caller: a customer organisation with an API key. */
export interface CallerRecord {
  kind: RecordKind.Caller
  name: string
  /** Name of the tier. */
  tier: string
  /** SHA-256 of the API key, as lower-case hexadecimal digits. */
  keyHash: string
  requestsPerS: number
  tokensPerS: number
  /** Maximum number of requests in flight. */
  concurrency: number
}

/** A model and its versions. */
export interface ModelRecord {
  kind: RecordKind.Model
  name: string
  /** Versions; `weight` is the relative share of requests without a version, `weightBytes` the size of the model weights. */
  versions: Array<{ version: string, adapter: string, weight: number, weightBytes: number }>
  /** Minimum number of decode backend servers in each availability zone that has any. */
  replicasPerZone: number
  /** Share of the model's backend servers that run prefill, from 0 to 1. */
  prefillShare: number
}

/** A backend server and its agent. */
export interface BackendRecord extends Place {
  kind: RecordKind.Backend
  /** Name of the backend server; its agent has the same name. */
  name: string
  /** Address `ip:port` of the engine or service. */
  address: string
  /** Address `ip:port` of the agent. */
  agent: string
  /** Name of the adapter for the protocol of the backend server. */
  adapter: string
  /** Initial role; placement may change that of an engine. */
  role: Role
  /** Initial model of an engine, or the name of the service. */
  serves: string
  version: string
  /** True when the backend server refuses orders with an outdated fencing number. */
  fencing: boolean
  /** Share of new work relative to other backend servers; 0 makes the agent drain. */
  weight: number
}

/** Rule that marks calls of a service as idempotent or not. */
export interface ServiceCallRule {
  /** HTTP method, or `*`. */
  method: string
  /** Path prefix. */
  path: string
  idempotent: boolean
}

/** A service that is not an engine. */
export interface ServiceRecord {
  kind: RecordKind.Service
  name: string
  /** The first matching rule applies; a call that matches no rule is not idempotent. */
  calls: ServiceCallRule[]
  timeoutMs: number
}

/** Policies of a deployment; only the record `policy/default` takes effect. */
export interface PolicyRecord {
  kind: RecordKind.Policy
  name: string
  reserve: ReservePolicy
  choice: ChoicePolicy
  admission: AdmissionPolicy
  placement: PlacementPolicy
  /** Share of seats and memory that is reserved for paid work, from 0 to 1. */
  paidHeadroom: number
  /** Maximum number of retries per successful request; limits the load that retries add. */
  retryBudget: number
  /** Maximum load, in seats, that a prefix match may outweigh. */
  affinitySeats: number
}

/** Any configuration record. */
export type ConfigRecord = TierRecord | CallerRecord | ModelRecord | BackendRecord | ServiceRecord | PolicyRecord

/** The type of the records of one kind. */
export type RecordOf<K extends RecordKind> = Extract<ConfigRecord, { kind: K }>
