/**
 * The reader of one stream: writes token events to an HTTP answer.
 */
import { FaultKind } from '../faults/mod.ts'
import type { HttpCall } from '../http/mod.ts'
import type { EngineContext } from './_context.ts'

/** Writes the events of a stream. */
export interface EventStream {
  writeTokens (offset: number, tokens: string[]): void
  /** Writes the end and ends the answer; `delivered` runs once the bytes went to the socket. */
  writeEnd (tokens: number, reason: string, delivered: () => void): void
  /** Ends the answer with an error. */
  writeError (error: string): void
}

const crossedBatch = 4

/** Opens the event stream of a call; `closed` runs when the reader disconnects. */
export function createEventStream (ctx: EngineContext, call: HttpCall, closed: () => void): EventStream {
  const { res } = call
  let late: string[] = []
  res.writeHead(200, { 'content-type': 'text/event-stream' })
  res.flushHeaders()
  res.on('close', closed)

  function isOpen (): boolean {
    return !res.destroyed && !res.writableEnded
  }

  function write (event: string): void {
    if (isOpen()) res.write(event)
  }

  // Queued events go out twice and not in their order.
  function flushLate (): void {
    const events = late
    late = []
    for (const event of events.toReversed()) write(event)
    for (const event of events) write(event)
  }

  function event (value: unknown): string {
    return `data: ${JSON.stringify(value)}\n\n`
  }

  return {
    writeTokens (offset, tokens) {
      const text = event({ offset, tokens })
      if (!ctx.gate.isActive(FaultKind.DuplicateAndReorder)) {
        flushLate()
        return write(text)
      }
      late.push(text)
      if (late.length >= crossedBatch) flushLate()
    },
    writeEnd (tokens, reason, delivered) {
      flushLate()
      if (!isOpen()) return
      res.end(event({ end: { tokens, reason } }), delivered)
    },
    writeError (error) {
      flushLate()
      if (isOpen()) res.end(event({ error }))
    }
  }
}
