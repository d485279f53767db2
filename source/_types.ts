/**
 * The interfaces of the platform adapters.
 */
import type { Result } from '../core/results/mod.ts'
import type { Place } from '../core/types/mod.ts'

/** Describes a failed read from the platform. */
export interface PlatformError {
  message: string
  /** True when the platform refused the read because of its rate limit. */
  limited: boolean
}

/** Describes one record as the configuration service holds it. */
export interface ConfigChange {
  /** Key such as `tier/gratuit` or `caller/notaires`. */
  key: string
  /** Revision of the service at which this record last changed. */
  revision: number
  /** The JSON text of the record, or null when the record was deleted. */
  value: string | null
}

/** Lists records or changes up to a revision. */
export interface ConfigPage {
  /** Revision of the service that this page reflects. */
  revision: number
  changes: ConfigChange[]
}

/** Reads the configuration service. */
export interface ConfigService {
  /** Reads all records: `GET /v1/records`. */
  readAll (): Promise<Result<ConfigPage, PlatformError>>
  /** Waits up to `waitMs` milliseconds for changes after a revision: `GET /v1/watch?after=REV&wait_ms=MS`. */
  watch (afterRevision: number, waitMs: number): Promise<Result<ConfigPage, PlatformError>>
  close (): Promise<void>
}

/** Names the states of a host on the platform's host list. */
export enum HostState {
  Live = 'live',
  Leaving = 'leaving'
}

/** Describes one process on the platform's host list. */
export interface HostEntry extends Place {
  /** Name of the host, unique in the deployment. */
  name: string
  kind: 'entry' | 'agent'
  /** Address `ip:port` at which peers reach the process. */
  address: string
  state: HostState
}

/** Reads the host list: `GET /v1/hosts`. */
export interface HostList {
  read (): Promise<Result<HostEntry[], PlatformError>>
  close (): Promise<void>
}
