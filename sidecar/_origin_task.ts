/**
 * Remembers what began streams, for gateways that have lost their memory or never had it.
 */
import { createOriginTable } from '../core/origin/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { ExchangeHandlers } from './_admission_task.ts'

/** What this process remembers of streams that gateways have told it of. */
export interface OriginTask {
  handlers: ExchangeHandlers
  /** Returns the number of streams whose origin is remembered. */
  size (): number
}

/** Time in milliseconds for which an origin is kept after its last use: several times what a client waits for a stream. */
const keepMs = 60_000
const maxRecords = 50_000

/** Creates the task; it keeps its state in memory only, and gateways tell a process that has started anew what they know themselves. */
export function createOriginTask (timer: Timer): OriginTask {
  const table = createOriginTable({ maxRecords, keepMs })
  return {
    handlers: {
      [MessageKind.StreamOrigins]: (_connection, { origins }) => { for (const record of origins) table.record(record, timer.now()) },
      [MessageKind.OriginRequest]: (connection, { requestId }) => {
        const origin = table.find(requestId, timer.now())
        connection.send({ kind: MessageKind.OriginReply, requestId, ...(origin === undefined ? {} : { origin }), isAmbiguous: table.isAmbiguous(requestId) })
      }
    },
    size: table.size
  }
}
