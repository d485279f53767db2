/**
 * Has a request served by the part of the gateway for the workers of its service.
 */
import { findResumedStream, refuseResumption } from './_resume_stream.ts'
import { serveGeneration } from './_serve_generation.ts'
import { servePlain } from './_serve_plain.ts'
import type { ResumedStream } from './_resume_stream.ts'
import type { ClientRequest, GatewayContext, RequestResult } from './_types.ts'

type RequestHandler = (context: GatewayContext, resumed: ResumedStream) => Promise<RequestResult>

/** Handlers of requests by the kind of the service's workers. */
const handlers: { readonly [K in 'plain' | 'engine']: RequestHandler } = { plain: servePlain, engine: serveGeneration }

/** Serves one request, or the rest of a stream that a client takes up: by the service that began it, whichever the route would choose. */
export async function serveRequest (context: GatewayContext, received: ClientRequest): Promise<RequestResult> {
  const found = await findResumedStream(context, received)
  if (found.err) return refuseResumption(received, found.val)
  return await handlers[found.val.request.service.engine === undefined ? 'plain' : 'engine'](context, found.val)
}
