/**
 * Writes the events of one decode stream to an HTTP response.
 */
import { FaultKind } from '../faults/mod.ts'
import type { HttpCall } from '../http/mod.ts'
import type { EngineContext } from './_context.ts'

/** Writes the events of a stream; does nothing once the connection is closed. */
export interface EventStream {
  /** Writes tokens; `offset` is that of the first one. */
  writeTokens (offset: number, tokens: string[]): void
  /** Writes the end event and ends the response; `onWritten` is called once all bytes were handed to the operating system. */
  writeEnd (tokens: number, reason: string, onWritten: () => void): void
  /** Writes an error event and ends the response. */
  writeError (error: string): void
}

/** Number of events that are collected before they are written, while the engine duplicates and reorders events. */
const reorderBatchEvents = 4

/** Opens the event stream of a call; `onClose` is called when the connection is closed. */
export function createEventStream (ctx: EngineContext, call: HttpCall, onClose: () => void): EventStream {
  const { res } = call
  let delayedEvents: string[] = []
  res.writeHead(200, { 'content-type': 'text/event-stream' })
  res.flushHeaders()
  res.on('close', onClose)

  function isOpen (): boolean {
    return !res.destroyed && !res.writableEnded
  }

  function write (event: string): void {
    if (isOpen()) res.write(event)
  }

  // Writes each delayed event twice, first all in reverse order and then all in order.
  function flushDelayed (): void {
    const events = delayedEvents
    delayedEvents = []
    for (const event of events.toReversed()) write(event)
    for (const event of events) write(event)
  }

  function formatEvent (value: unknown): string {
    return `data: ${JSON.stringify(value)}\n\n`
  }

  return {
    writeTokens (offset, tokens) {
      const text = formatEvent({ offset, tokens })
      if (!ctx.gate.isActive(FaultKind.DuplicateAndReorder)) {
        flushDelayed()
        return write(text)
      }
      delayedEvents.push(text)
      if (delayedEvents.length >= reorderBatchEvents) flushDelayed()
    },
    writeEnd (tokens, reason, onWritten) {
      flushDelayed()
      if (!isOpen()) return
      res.end(formatEvent({ end: { tokens, reason } }), onWritten)
    },
    writeError (error) {
      flushDelayed()
      if (isOpen()) res.end(formatEvent({ error }))
    }
  }
}
