/**
 * Tells event streams by their media type.
 */
const eventStreamType = 'text/event-stream'

/**
 * Tells whether a media type is that of server-sent events, whatever its case and its parameters.
 *
 * @param contentType value of a header `Content-Type`
 * @returns true for event streams
 *
 * @example
 * ```ts
 * import { isEventStream } from 'briarloom/core/stream'
 *
 * console.assert(isEventStream('Text/Event-Stream; charset=utf-8'))
 * ```
 */
export function isEventStream (contentType: string): boolean {
  return contentType.split(';', 1)[0]?.trim().toLowerCase() === eventStreamType
}
