/**
 * Types of configuration records in their internal form. The key of a record is its kind, a slash and its name.
 */
import type { Place, Role, TierClass } from '../types/mod.ts'

/** Names the kinds of configuration records. */
export enum RecordKind {
  Tier = 'tier',
  Caller = 'caller',
  Model = 'model',
  Backend = 'backend',
  Service = 'service',
  Policy = 'policy'
}

/** Names the policies for the time of the reservation at the decode backend server. */
export enum ReservePolicy {
  PrefillFirst = 'prefill_first',
  ReserveFirst = 'reserve_first',
  Predicted = 'predicted'
}

/** Names the policies for the choice among backend servers. */
export enum ChoicePolicy {
  PowerOfTwo = 'power_of_two',
  LeastLoaded = 'least_loaded',
  RoundRobin = 'round_robin',
  Random = 'random'
}

/** Names the policies for admission. */
export enum AdmissionPolicy {
  /** Paid before free with headroom, and early refusal. */
  Tiered = 'tiered',
  /** First come, first served without tiers; a baseline. */
  Fifo = 'fifo'
}

/** Names the policies for what each engine serves. */
export enum PlacementPolicy {
  /** Each engine serves what its own record says. */
  Records = 'records',
  /** Each agent works out what its engine serves from the models' records and the live hosts. */
  Balanced = 'balanced'
}

/** Describes a tier. */
export interface TierRecord {
  kind: RecordKind.Tier
  name: string
  tierClass: TierClass
  /** Models and versions that the tier may reach; the version `*` stands for all. */
  models: Array<{ model: string, version: string }>
  /** Target for the time to the first token, in milliseconds. */
  firstTokenMs: number
  /** Target for the time between tokens, in milliseconds. */
  betweenTokensMs: number
}

/** Describes a caller: a customer organisation that holds an API key. */
export interface CallerRecord {
  kind: RecordKind.Caller
  name: string
  tier: string
  /** SHA-256 of the API key, as lower-case hexadecimal digits. */
  keyHash: string
  requestsPerS: number
  tokensPerS: number
  /** Highest number of requests at one time. */
  concurrency: number
}

/** Describes a model and its versions. */
export interface ModelRecord {
  kind: RecordKind.Model
  name: string
  versions: Array<{ version: string, adapter: string, weight: number, weightBytes: number }>
  /** Lowest number of decode backend servers in each availability zone that has any. */
  replicasPerZone: number
  /** Share of the model's backend servers that run prefill, from 0 to 1. */
  prefillShare: number
}

/** Describes a backend server and the agent beside it. */
export interface BackendRecord extends Place {
  kind: RecordKind.Backend
  /** Name of the backend server; the agent beside it has the same name. */
  name: string
  /** Address `ip:port` of the engine or service. */
  address: string
  /** Address `ip:port` of the agent. */
  agent: string
  /** Name of the adapter that speaks the backend server's protocol. */
  adapter: string
  /** Role at the start; placement may change it for engines. */
  role: Role
  /** Model at the start, or the name of the service. */
  serves: string
  version: string
  /** True when the backend server refuses orders with an old fencing number. */
  fencing: boolean
  /** Share of new work relative to others; 0 asks the agent to drain. */
  weight: number
}

/** Marks calls of a service as idempotent or not. */
export interface ServiceCallRule {
  /** HTTP method, or `*`. */
  method: string
  /** Path prefix. */
  path: string
  idempotent: boolean
}

/** Describes a plain service. */
export interface ServiceRecord {
  kind: RecordKind.Service
  name: string
  /** The first rule that matches counts; a call without a rule is not idempotent. */
  calls: ServiceCallRule[]
  timeoutMs: number
}

/** Chooses the policies of a deployment; the record `policy/default` is in force. */
export interface PolicyRecord {
  kind: RecordKind.Policy
  name: string
  reserve: ReservePolicy
  choice: ChoicePolicy
  admission: AdmissionPolicy
  placement: PlacementPolicy
  /** Share of seats and memory that only paid work may use, from 0 to 1. */
  paidHeadroom: number
  /** Retries for each request that succeeds, as a share; bounds amplification. */
  retryBudget: number
  /** How far a prefix match may outweigh load, in seats. */
  affinitySeats: number
}

/** Any configuration record. */
export type ConfigRecord = TierRecord | CallerRecord | ModelRecord | BackendRecord | ServiceRecord | PolicyRecord

/** The record of one kind. */
export type RecordOf<K extends RecordKind> = Extract<ConfigRecord, { kind: K }>
