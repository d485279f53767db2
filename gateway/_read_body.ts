/**
 * Reads the bodies of clients' requests, and refuses those that are not read to their end.
 */
import { BodyFault } from '../http/mod.ts'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { BodyReader } from '../http/mod.ts'

/** Refuses a request with a status, a reason and the delay in milliseconds after which its client may retry. */
export type Refuse = (status: number, reason: string, retryAfterMs?: number) => void

/** Configures the reading of a body. */
export interface ReadBodyOptions {
  bodies: BodyReader
  /** Returns the limit in bytes in force. */
  maxBytes: () => number
  /** Priority of the request; 0 is the most urgent. */
  priority: number
  onBody: (body: Buffer) => void
  refuse: Refuse
  /** Receives what `onBody` throws. */
  onError: (err: unknown) => void
}

/** Delay in milliseconds after which a client may retry whose body the process had no memory for. */
const crowdedRetryMs = 1_000
/** How a request is refused whose body is not read to its end; none of them has run. */
const refusals: { readonly [F in BodyFault]?: readonly [status: number, reason: string, retryAfterMs?: number] } = {
  [BodyFault.TooLong]: [413, BodyFault.TooLong],
  [BodyFault.Crowded]: [503, BodyFault.Crowded, crowdedRetryMs],
  [BodyFault.Stalled]: [408, BodyFault.Stalled]
}

/** Reads a body; calls `onBody`, or `refuse` unless its connection has closed. */
export function readBody (req: IncomingMessage, res: ServerResponse, options: ReadBodyOptions): void {
  const { bodies, maxBytes, priority, onBody, refuse, onError } = options
  bodies.read(req, res, {
    maxBytes,
    rank: priority,
    onBody (body) {
      try {
        onBody(body)
      } catch (err) {
        onError(err)
      }
    },
    onFault (fault) {
      const refusal = refusals[fault]
      if (refusal !== undefined && !res.headersSent) refuse(...refusal)
    }
  })
}
