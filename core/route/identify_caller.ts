/**
 * Decides who sends a request, and whether the request may be served.
 */
import { Err, Ok } from '../results/mod.ts'
import type { Result } from '../results/mod.ts'
import type { RouteTable } from './create_route_table.ts'
import type { OrganisationRule, RouteRule } from './_types.ts'

/** What a request says of its caller. */
export interface Credentials {
  /** The API key; absent when the request has none, several or one that cannot be read. */
  key?: string | undefined
  /** True when the request says who calls, in whatever form. */
  hasCredentials: boolean
}

/** Who sends a request. */
export interface Caller {
  /** Whether callers carry keys by the rules in force; when they do not, what a request says of its caller is passed on as it is. */
  carriesKeys: boolean
  /** The organisation that holds the key; absent for a request without a key. */
  organisation?: OrganisationRule
}

/** Names the reasons for which a caller is not served. */
export enum CallerRefusal {
  MissingKey = 'missing_key',
  /** The request has several keys, or something else in their place. */
  MalformedKey = 'malformed_key',
  /** No organisation holds the key by the rules in force. */
  UnknownKey = 'unknown_key',
  /** The key was withdrawn while the request waited. */
  WithdrawnKey = 'withdrawn_key',
  /** The rules in force are too old to tell whether the key has been withdrawn. */
  UnconfirmedKey = 'unconfirmed_key'
}

/** An `Err` records where it is made, which takes longer than the lookup of a key; so each is made once. */
const missingKey = Err(CallerRefusal.MissingKey)
const malformedKey = Err(CallerRefusal.MalformedKey)
const unknownKey = Err(CallerRefusal.UnknownKey)

/**
 * Decides who sends a request. A route may serve requests without a key; a key that nobody holds is refused there, too, because its caller
 * claims to be known.
 *
 * @param table the rules in force
 * @param route the route of the request
 * @param credentials what the request says of its caller
 * @returns the caller, or why the request is refused
 *
 * @example
 * ```ts
 * import { createRouteTable, identifyCaller, RequestKind } from 'briarloom/core/route'
 *
 * const limits = { maxHeaderBytes: 16384, maxBodyBytes: 65536, headerTimeoutMs: 3000, idleTimeoutMs: 15000 }
 * const table = createRouteTable({ version: 1, routes: [], services: [], limits, organisations: [{ name: 'north', keys: ['k-1'] }] })
 * const route = { allowsAnonymous: false }
 * console.assert(identifyCaller(table, route, { key: 'k-1', hasCredentials: true }).unwrap().organisation?.name === 'north')
 * console.assert(identifyCaller(table, route, { hasCredentials: false }).err)
 * ```
 */
export function identifyCaller (
  table: RouteTable, { allowsAnonymous }: Pick<RouteRule, 'allowsAnonymous'>, { key, hasCredentials }: Credentials
): Result<Caller, CallerRefusal> {
  if (table.organisations() === undefined) return Ok({ carriesKeys: false })
  if (key === undefined) {
    if (hasCredentials) return malformedKey
    return allowsAnonymous ? Ok({ carriesKeys: true }) : missingKey
  }
  const organisation = table.findOrganisation(key)
  return organisation === undefined ? unknownKey : Ok({ carriesKeys: true, organisation })
}
