/**
 * The table of connections to peers.
 */
import { Err, Ok } from '../core/results/mod.ts'
import { connect, listen, MessageKind } from '../wire/mod.ts'
import type { Connection, Listener, Message } from '../wire/mod.ts'
import type { Subscription } from '../timer/mod.ts'
import type { Peer, Peers, PeersOptions } from './_types.ts'

const defaultRedialMs = 100
const defaultMaxRedialMs = 2000
const helloTimeoutMs = 2000

interface Link {
  conn: Connection
  peer: Peer
}

interface Target {
  address: string
  failures: number
  retry: Subscription | undefined
  /** True while a connection is being made or is open. */
  busy: boolean
}

/**
 * Creates the table of connections to peers. Both ends say hello first; a later connection of the same peer replaces an
 * earlier one.
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
  const redialMs = options.redialMs ?? defaultRedialMs
  const maxRedialMs = options.maxRedialMs ?? defaultMaxRedialMs
  const links = new Map<string, Link>()
  const targets = new Map<string, Target>()
  const unnamed = new Set<Connection>()
  let listener: Listener | undefined
  let address = ''
  let closed = false

  function hello (): Message {
    return { kind: MessageKind.Hello, ...self, address, revision: options.revision() }
  }

  function adopt (conn: Connection, first: Message): Link | undefined {
    if (first.kind !== MessageKind.Hello) {
      conn.close()
      return undefined
    }
    const { kind: _kind, ...info } = first
    const peer: Peer = { ...info, owner: `${info.name}#${info.incarnation}`, heardMs: timer.now() }
    const link = { conn, peer }
    const earlier = links.get(peer.name)
    links.set(peer.name, link)
    if (earlier !== undefined) {
      handlers.onDown(earlier.peer, 'replaced by a new connection')
      earlier.conn.close()
    }
    handlers.onUp(peer)
    return link
  }

  function attach (conn: Connection, onEnd: () => void): void {
    let link: Link | undefined
    const limit = timer.after(helloTimeoutMs, () => { if (link === undefined) conn.close() })
    unnamed.add(conn)
    conn.onMessage((msg) => {
      if (link === undefined) {
        limit.cancel()
        unnamed.delete(conn)
        link = adopt(conn, msg)
        return
      }
      link.peer.heardMs = timer.now()
      if (links.get(link.peer.name) === link) handlers.onMessage(link.peer, msg)
    })
    conn.onClose((reason) => {
      limit.cancel()
      unnamed.delete(conn)
      if (link !== undefined && links.get(link.peer.name) === link) {
        links.delete(link.peer.name)
        handlers.onDown(link.peer, reason)
      }
      onEnd()
    })
    conn.send(hello())
  }

  function redial (name: string, target: Target): void {
    target.busy = false
    if (closed || targets.get(name) !== target) return
    const waitMs = Math.min(maxRedialMs, redialMs * 2 ** target.failures)
    target.failures += 1
    target.retry = timer.after(waitMs * (0.5 + options.random() / 2), () => { open(name, target) })
  }

  async function open (name: string, target: Target): Promise<void> {
    target.busy = true
    const made = await connect({ address: target.address, psk: options.psk, maxFrameBytes: options.maxFrameBytes })
    if (made.err) {
      redial(name, target)
      return
    }
    if (closed || targets.get(name) !== target) {
      made.val.close()
      return
    }
    target.failures = 0
    attach(made.val, () => redial(name, target))
  }

  function undial (name: string): void {
    const target = targets.get(name)
    if (target === undefined) return
    targets.delete(name)
    target.retry?.cancel()
    links.get(name)?.conn.close()
  }

  return {
    async listen (host, port) {
      const made = await listen({
        host,
        port,
        psk: options.psk,
        maxFrameBytes: options.maxFrameBytes,
        onConnection: (conn) => attach(conn, () => {})
      })
      if (made.err) return Err(`cannot listen at "${host}:${port}": ${made.val.message}`)
      listener = made.val
      address = made.val.address
      return Ok(address)
    },
    dial (name, peerAddress) {
      const known = targets.get(name)
      if (known?.address === peerAddress) return
      if (known !== undefined) undial(name)
      const target: Target = { address: peerAddress, failures: 0, retry: undefined, busy: false }
      targets.set(name, target)
      open(name, target)
    },
    undial,
    send: (name, msg) => links.get(name)?.conn.send(msg) ?? false,
    get: (name) => links.get(name)?.peer,
    list: () => [...links.values()].map((link) => link.peer),
    dialled: () => [...targets.keys()],
    async close () {
      closed = true
      for (const name of [...targets.keys()]) undial(name)
      for (const link of links.values()) link.conn.close()
      for (const conn of unnamed) conn.close()
      await listener?.close()
    }
  }
}
