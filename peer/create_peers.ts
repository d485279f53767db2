/**
 * The table of connections to peers, by the name of the peer.
 */
import { Err, Ok } from '../core/results/mod.ts'
import { listen, MessageKind } from '../wire/mod.ts'
import { createDialler } from './_dialler.ts'
import type { Connection, Listener, Message } from '../wire/mod.ts'
import type { Peer, Peers, PeersOptions } from './_types.ts'

/** Largest first frame that a peer may send, in bytes. */
const maxHelloBytes = 65_536
/** Time within which a new connection must deliver its first message, whichever end opened it. */
const helloTimeoutMs = 2000

interface Link {
  conn: Connection
  peer: Peer
  /** Name of the process that opened the connection. */
  initiator: string
}

/**
 * Creates the table of connections to peers. Both ends of a connection send `Hello` first. When two processes dial each
 * other at the same time, both keep the connection opened by the process whose name sorts first. A new connection that was
 * opened by the same process as the earlier one replaces it.
 *
 * @param options the timer, the identity, the handlers, the key and the redial delays in milliseconds
 * @returns the table; it accepts no connections before `listen`
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
  const awaitingHello = new Set<Connection>()
  const dialler = createDialler({
    peers: options,
    isLinked: (name) => links.has(name),
    onConnection: (conn) => handleConnection(conn, true)
  })
  let listener: Listener | undefined
  let address = ''

  function createHello (): Message {
    return { kind: MessageKind.Hello, ...self, address, revision: options.revision() }
  }

  function removeLink (link: Link, reason: string): void {
    links.delete(link.peer.name)
    handlers.onDown(link.peer, reason)
    link.conn.close()
  }

  /** Returns whether the earlier link to a peer stays when a second connection to a peer of this name identifies itself. */
  function shouldKeepEarlier (earlier: Link, later: Link): boolean {
    if (earlier.peer.incarnation !== later.peer.incarnation) return earlier.peer.incarnation > later.peer.incarnation
    return earlier.initiator !== later.initiator && earlier.initiator < later.initiator
  }

  function addLink (conn: Connection, first: Message, isDialled: boolean): Link | undefined {
    if (first.kind !== MessageKind.Hello) {
      conn.close()
      return undefined
    }
    const { kind: _kind, ...info } = first
    const peer: Peer = { ...info, incarnationId: `${info.name}#${info.incarnation}`, lastMessageMs: timer.now() }
    const link = { conn, peer, initiator: isDialled ? self.name : info.name }
    const earlier = links.get(peer.name)
    if (earlier !== undefined && shouldKeepEarlier(earlier, link)) {
      conn.close()
      return undefined
    }
    if (earlier !== undefined) removeLink(earlier, 'replaced by a new connection')
    links.set(peer.name, link)
    handlers.onUp(peer)
    return link
  }

  function handleConnection (conn: Connection, isDialled: boolean): void {
    let link: Link | undefined
    let hasFirstMessage = false
    const helloTimeout = timer.after(helloTimeoutMs, () => { if (!hasFirstMessage) conn.close() })
    awaitingHello.add(conn)
    conn.onMessage((msg) => {
      if (!hasFirstMessage) {
        hasFirstMessage = true
        awaitingHello.delete(conn)
        link = addLink(conn, msg, isDialled)
      } else if (link !== undefined && links.get(link.peer.name) === link) {
        link.peer.lastMessageMs = timer.now()
        handlers.onMessage(link.peer, msg)
      }
    })
    conn.onClose((reason) => {
      helloTimeout.cancel()
      awaitingHello.delete(conn)
      if (link === undefined || links.get(link.peer.name) !== link) return
      removeLink(link, reason)
      dialler.onDisconnected(link.peer.name)
    })
    conn.send(createHello())
  }

  return {
    async listen (host, port) {
      const { psk, maxFrameBytes } = options
      const bound = await listen({ host, port, psk, maxFrameBytes, maxFirstFrameBytes: maxHelloBytes, onConnection: (conn) => handleConnection(conn, false) })
      if (bound.err) return Err(`cannot listen at "${host}:${port}": ${bound.val.message}`)
      listener = bound.val
      address = bound.val.address
      return Ok(address)
    },
    dial: dialler.dial,
    stopDialling (name) {
      const link = links.get(name)
      if (dialler.stopDialling(name) && link?.initiator === self.name) removeLink(link, 'no longer wanted')
    },
    send: (name, msg) => links.get(name)?.conn.send(msg) ?? false,
    get: (name) => links.get(name)?.peer,
    list: () => [...links.values()].map((link) => link.peer),
    dialledNames: dialler.names,
    async close () {
      dialler.close()
      for (const link of [...links.values()]) link.conn.close()
      for (const conn of awaitingHello) conn.close()
      await listener?.close()
    }
  }
}
