/**
 * Identifies the callers of requests by the rules in force, when a request arrives and again before each send.
 */
import { CallerRefusal, identifyCaller } from '../core/route/mod.ts'
import { Err, Ok } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'
import type { Caller, RouteRule, RouteTable } from '../core/route/mod.ts'
import type { RequestHead } from '../platform/mod.ts'
import type { ClientRequest, GatewayContext } from './_types.ts'

/** Time in milliseconds after which a client may come back while no process tells whether its key has been withdrawn. */
const unconfirmedRetryMs = 500

/** Tells whether the rules are too old for a deployment in which no process may serve a withdrawn key, in touch with the store or not. */
function areKeysUnconfirmed ({ settings, directory }: GatewayContext): boolean {
  return settings.withdrawsKeysEverywhere === true && directory.ageMs() > (settings.keyWithdrawalMs ?? Infinity)
}

/** Returns who sends a request by the rules in force, or why it is refused. */
export function identify (context: GatewayContext, table: RouteTable, route: RouteRule, head: RequestHead): Result<Caller, CallerRefusal> {
  const caller = identifyCaller(table, route, head)
  if (caller.ok && caller.val.organisation !== undefined && areKeysUnconfirmed(context)) return Err(CallerRefusal.UnconfirmedKey)
  return caller
}

/**
 * Creates the check of the caller of one request that has been accepted. It looks the key up again only when other rules are in force.
 */
export function createCallerCheck (
  context: GatewayContext, accepted: { table: RouteTable, route: RouteRule, head: RequestHead, caller: Caller }
): () => Result<Caller, CallerRefusal> {
  const { route, head } = accepted
  let checked = accepted.table
  let caller: Result<Caller, CallerRefusal> = Ok(accepted.caller)
  return () => {
    const table = context.directory.routeTable() ?? checked
    if (table !== checked) {
      checked = table
      caller = identifyCaller(table, route, head)
    }
    if (caller.err) return Err(caller.val === CallerRefusal.UnknownKey ? CallerRefusal.WithdrawnKey : caller.val)
    return caller.val.organisation !== undefined && areKeysUnconfirmed(context) ? Err(CallerRefusal.UnconfirmedKey) : caller
  }
}

/** How a request of a refused caller ends, when no worker may have run it. */
export interface CallerReply {
  status: number
  reason: CallerRefusal
  retryAfterMs?: number
}

/** Returns how a request ends whose caller is refused. */
export function getCallerReply (reason: CallerRefusal): CallerReply {
  return reason === CallerRefusal.UnconfirmedKey ? { status: 503, reason, retryAfterMs: unconfirmedRetryMs } : { status: 401, reason }
}

/** Returns how a request ends whose caller may not be served any more; undefined while the caller may. */
export function findCallerReply (request: Pick<ClientRequest, 'identifyCaller'>): CallerReply | undefined {
  const caller = request.identifyCaller()
  return caller.err ? getCallerReply(caller.val) : undefined
}
