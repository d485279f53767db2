/**
 * Types of placement.
 */
import type { BackendRecord, ModelRecord } from '../records/mod.ts'
import type { Role } from '../types/mod.ts'

/** What an engine is to do. */
export interface Assignment {
  role: Role.Prefill | Role.Decode
  model: string
  version: string
  adapter: string
}

/** What placement is worked out from. */
export interface PlacementView {
  models: ModelRecord[]
  backends: BackendRecord[]
  /** Returns whether a backend server is live as far as this process knows. */
  isLive: (name: string) => boolean
  /** Share of prefill for a model where it differs from the record's. */
  prefillShare?: (model: string) => number | undefined
}

/** What a backend server said that it does. */
export interface ServingReport {
  name: string
  availabilityZone: string
  role: Role
  model: string
  version: string
  /** True when it takes no new work. */
  draining: boolean
  /** Monotonic time in milliseconds at which the report arrived. */
  atMs: number
}
