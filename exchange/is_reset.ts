/**
 * Tells a reset of a connection from its orderly end.
 */
import type { Socket } from 'node:net'

/**
 * Tells whether a connection whose socket has emitted `end` was reset by its peer.
 *
 * libuv reports the end of the data when a reset arrives together with the last bytes, so the event alone does not show that the peer
 * closed the connection in order. The address of the peer is known only while the connection exists: after a close in order it still
 * does, after a reset it does not. Nothing may have read `remoteAddress` before, because Node keeps its value.
 *
 * @param socket the socket, in a listener of its event `end`
 * @returns true when the connection was reset
 *
 * @example
 * ```ts
 * import { isReset } from 'briarloom/exchange'
 * import { Socket } from 'node:net'
 *
 * console.assert(isReset(new Socket()))
 * ```
 */
export function isReset (socket: Socket): boolean {
  return socket.remoteAddress === undefined
}
