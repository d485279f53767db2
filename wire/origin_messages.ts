/**
 * The messages by which gateways have sidecars remember what began streams, so that a client may take its stream up at any gateway.
 */
import type { Origin, OriginRecord } from '../core/origin/mod.ts'
import type { MessageKind } from './message_kind.ts'

/** Tells a sidecar what began streams. */
export interface StreamOrigins {
  kind: MessageKind.StreamOrigins
  origins: OriginRecord[]
}

/** Asks a sidecar what began the stream of a client attempt; answered by `OriginReply`. */
export interface OriginRequest {
  kind: MessageKind.OriginRequest
  requestId: string
}

/** Tells what began a stream, as far as the sender knows. */
export interface OriginReply {
  kind: MessageKind.OriginReply
  requestId: string
  /** Absent when it is not known. */
  origin?: Origin
  /** True when the sender was told contradictory origins. */
  isAmbiguous: boolean
}
