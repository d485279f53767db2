/**
 * Decides where a stream may go on.
 */
import type { ClientRequest, GatewayContext } from './_types.ts'

/** The service that began a stream, and the software version of the worker that wrote its first event. */
export interface Origin {
  service: string
  softwareVersion: string
}

/** Reason of a refusal because no engine of the version that began the stream is left. */
export const versionGone = 'version_gone'

/** Tells whether the service has an engine of a software version, whether that takes requests now or not. */
export function mayVersionServe (context: GatewayContext, request: ClientRequest, { softwareVersion }: Origin): boolean {
  return context.directory.fleet.serving(request.service.name).some(({ entry }) => entry.softwareVersion === softwareVersion)
}
