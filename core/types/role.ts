/**
 * The work that a backend server does.
 */

/** Names the role of a backend server. */
export enum Role {
  Prefill = 'prefill',
  Decode = 'decode',
  Service = 'service'
}
