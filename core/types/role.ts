/**
 * Roles of backend servers.
 */

/** Role of a backend server. */
export enum Role {
  /** An engine that runs prompts. */
  Prefill = 'prefill',
  /** An engine that generates tokens. */
  Decode = 'decode',
  /** A service that is not an engine. */
  Service = 'service'
}
