/**
 * The table of connections to peers.
 */
import { Err, Ok } from '../core/results/mod.ts'
import { listen, MessageKind } from '../wire/mod.ts'
import { createDialler } from './_dialler.ts'
import type { Connection, Listener, Message } from '../wire/mod.ts'
import type { Peer, Peers, PeersOptions } from './_types.ts'

const helloTimeoutMs = 2000

interface Link {
  conn: Connection
  peer: Peer
  /** Name of the process that opened the connection. */
  initiator: string
}

/**
 * Creates the table of connections to peers. Both ends say hello first. When two processes dial each other at once, both
 * keep the connection of the one whose name sorts first; a new connection from the same end replaces an earlier one.
 *
 * @param options timer, identity, handlers, key and waits in milliseconds
 * @returns the table
 *
 * @example
 * ```ts
 * import { createPeers } from 'briarloom/peer'
 * import { createSystemTimer } from 'briarloom/timer'
 *
 * const timer = createSystemTimer()
 * const peers = createPeers({
 *   timer,
 *   self: { name: 'e1', process: 'entry', incarnation: 1, availabilityZone: 'levis', region: 'qc-est' },
 *   handlers: { onUp () {}, onDown () {}, onMessage () {} },
 *   revision: () => 0,
 *   random: Math.random
 * })
 * await peers.listen('127.0.0.1', 0)
 * await peers.close()
 * timer.close()
 * ```
 */
export function createPeers (options: PeersOptions): Peers {
  const { timer, self, handlers } = options
  const links = new Map<string, Link>()
  const unnamed = new Set<Connection>()
  const dialler = createDialler({
    peers: options,
    isLinked: (name) => links.has(name),
    onConnection: (conn) => attach(conn, true)
  })
  let listener: Listener | undefined
  let address = ''

  function hello (): Message {
    return { kind: MessageKind.Hello, ...self, address, revision: options.revision() }
  }

  function drop (link: Link, reason: string): void {
    links.delete(link.peer.name)
    handlers.onDown(link.peer, reason)
    link.conn.close()
  }

  /** Decides whether an earlier link stays when a second connection to the same run of a peer comes up. */
  function keepsEarlier (earlier: Link, later: Link): boolean {
    if (earlier.peer.incarnation !== later.peer.incarnation) return earlier.peer.incarnation > later.peer.incarnation
    return earlier.initiator !== later.initiator && earlier.initiator < later.initiator
  }

  function adopt (conn: Connection, first: Message, dialled: boolean): Link | undefined {
    if (first.kind !== MessageKind.Hello) {
      conn.close()
      return undefined
    }
    const { kind: _kind, ...info } = first
    const peer: Peer = { ...info, incarnationId: `${info.name}#${info.incarnation}`, lastMessageMs: timer.now() }
    const link = { conn, peer, initiator: dialled ? self.name : info.name }
    const earlier = links.get(peer.name)
    if (earlier !== undefined && keepsEarlier(earlier, link)) {
      conn.close()
      return undefined
    }
    if (earlier !== undefined) drop(earlier, 'replaced by a new connection')
    links.set(peer.name, link)
    handlers.onUp(peer)
    return link
  }

  function attach (conn: Connection, dialled: boolean): void {
    let link: Link | undefined
    let isGreeted = false
    const limit = timer.after(helloTimeoutMs, () => { if (!isGreeted) conn.close() })
    unnamed.add(conn)
    conn.onMessage((msg) => {
      if (!isGreeted) {
        isGreeted = true
        unnamed.delete(conn)
        link = adopt(conn, msg, dialled)
      } else if (link !== undefined && links.get(link.peer.name) === link) {
        link.peer.lastMessageMs = timer.now()
        handlers.onMessage(link.peer, msg)
      }
    })
    conn.onClose((reason) => {
      limit.cancel()
      unnamed.delete(conn)
      if (link === undefined || links.get(link.peer.name) !== link) return
      drop(link, reason)
      dialler.onDisconnected(link.peer.name)
    })
    conn.send(hello())
  }

  return {
    async listen (host, port) {
      const { psk, maxFrameBytes } = options
      const made = await listen({ host, port, psk, maxFrameBytes, onConnection: (conn) => attach(conn, false) })
      if (made.err) return Err(`cannot listen at "${host}:${port}": ${made.val.message}`)
      listener = made.val
      address = made.val.address
      return Ok(address)
    },
    dial: dialler.dial,
    stopDialling (name) {
      const link = links.get(name)
      if (dialler.stopDialling(name) && link?.initiator === self.name) drop(link, 'no longer wanted')
    },
    send: (name, msg) => links.get(name)?.conn.send(msg) ?? false,
    get: (name) => links.get(name)?.peer,
    list: () => [...links.values()].map((link) => link.peer),
    dialledNames: dialler.names,
    async close () {
      dialler.close()
      for (const link of [...links.values()]) link.conn.close()
      for (const conn of unnamed) conn.close()
      await listener?.close()
    }
  }
}
