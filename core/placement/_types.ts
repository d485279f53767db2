/**
 * Types for placement.
 */
import type { BackendRecord, ModelRecord } from '../records/mod.ts'
import type { Role } from '../types/mod.ts'

/** Describes what an engine must serve. */
export interface Assignment {
  role: Role.Prefill | Role.Decode
  model: string
  version: string
  /** Adapter of the model version, as its record names it; may be empty. */
  adapter: string
}

/** Holds the input of placement. */
export interface PlacementView {
  models: ModelRecord[]
  backends: BackendRecord[]
  /** Tells whether a backend server is live as far as this process knows. */
  isLive: (name: string) => boolean
  /** Returns the prefill share of a model, from 0 to 1, when it differs from the share in its record. */
  prefillShare?: (model: string) => number | undefined
}

/** Describes what a backend server reports to serve. */
export interface ServingReport {
  name: string
  availabilityZone: string
  role: Role
  model: string
  version: string
  /** True when it accepts no new work. */
  draining: boolean
  /** Monotonic time in milliseconds at which the report was received. */
  atMs: number
}
