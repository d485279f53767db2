/**
 * Decides where the stream that a client takes up may go on.
 */
import { Err, Ok } from '../core/results/mod.ts'
import { RequestKind } from '../core/route/mod.ts'
import { StopReason } from './_types.ts'
import type { Origin } from '../core/origin/mod.ts'
import type { Result } from '../core/results/mod.ts'
import type { ClientRequest, GatewayContext, RequestResult } from './_types.ts'

/** Reason of a refusal because no engine of the version that began the stream is left. */
export const versionGone = 'version_gone'
/** Reason of a refusal because all engines of the version that began the stream prefill; one of them may be changing its stage. */
export const versionPrefills = 'version_prefills'
/** Reason of a refusal because this gateway knows no engine of that version and is behind the store: another gateway may know one. */
export const viewOld = 'view_old'
/** Reason of a refusal because nobody knows which version began the stream. */
const originUnknown = 'origin_unknown'
/** Delay in milliseconds after which a client may come back, to another gateway, when this one lacks what it has to know of a stream. */
export const askAgainMs = 500
/** Largest age in milliseconds of the known rules and workers of a gateway that hears the store, itself or from a reader. */
const maxViewAgeMs = 2_500

/** A request with what began the stream that it goes on with; absent for a stream that begins. */
export interface ResumedStream {
  request: ClientRequest
  origin?: Origin
}

/** Why a stream is not taken up. */
export interface ResumptionRefusal {
  reason: string
  /** Delay in milliseconds after which the client may come back; absent when that would not help. */
  retryAfterMs?: number
}

/** Tells whether the answer is a stream that its client may take up after a break; its request may run more than once. */
export function mayBeTakenUp ({ route }: ClientRequest): boolean {
  return route.kind === RequestKind.Streaming && route.mayResume
}

/** Finds out what began the stream that a client takes up: it goes on only at the service and the software version that began it. */
export async function findResumedStream (context: GatewayContext, request: ClientRequest): Promise<Result<ResumedStream, ResumptionRefusal>> {
  const { lastEventId, resumedRequestId } = request.head
  const mayBeResumed = request.service.engine !== undefined || mayBeTakenUp(request)
  if (lastEventId === undefined || !mayBeResumed) return Ok({ request })
  const { origin, isFinal } = resumedRequestId === undefined ? { origin: undefined, isFinal: true } : await context.streamOrigins.find(resumedRequestId)
  context.log.info({ request: request.requestId, resumed: resumedRequestId, afterEvent: lastEventId, ...origin }, 'stream taken up')
  if (origin === undefined) return Err(isFinal ? { reason: originUnknown } : { reason: originUnknown, retryAfterMs: askAgainMs })
  const service = context.directory.routeTable()?.getService(origin.service)
  if (service === undefined || !request.route.targets.some((target) => target.service === origin.service)) return Err(describeMissing(context))
  return Ok({ request: { ...request, service }, origin })
}

/** Returns the refusal of a stream for which this gateway knows no engine. */
export function describeMissing ({ directory }: GatewayContext): ResumptionRefusal {
  return directory.ageMs() > maxViewAgeMs ? { reason: viewOld, retryAfterMs: askAgainMs } : { reason: versionGone }
}

/** Tells whether the service has an engine of a software version, whether that takes requests now or not. */
export function mayVersionServe (context: GatewayContext, request: ClientRequest, { softwareVersion }: Origin): boolean {
  return context.directory.fleet.serving(request.service.name).some(({ entry }) => entry.softwareVersion === softwareVersion)
}

/** Refuses to go on with a stream; nothing has run for the request. */
export function refuseResumption (request: ClientRequest, refusal: ResumptionRefusal): RequestResult {
  if (request.stopReason() !== StopReason.ClientDisconnected) request.reply.sendLocal({ status: 503, ...refusal })
  return { status: 503, reason: refusal.reason, attempts: 0 }
}
