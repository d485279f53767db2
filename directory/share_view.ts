/**
 * Passes what the store holds on from the processes that read it to those that follow them.
 */
import { connect, listen, MessageKind, parseAddress } from '../wire/mod.ts'
import { createChangesPacker, decodeChanges } from './_pack_changes.ts'
import type { ViewState } from '../core/view/mod.ts'
import type { Log } from '../log/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { Connection, ListenBounds, Message } from '../wire/mod.ts'
import type { Directory } from './_types.ts'

/** Configures the sharing of a view. */
export interface ShareViewOptions {
  directory: Directory
  timer: Timer
  log: Log
  /** Address `ip:port` at which other processes follow this one; absent for a process that only follows. */
  address?: string
  /** Returns the addresses of the processes that read the store for this one, with its own when it is one of them. */
  readers: () => readonly string[]
  /** Bounds of the listener; unlimited by default. */
  bounds?: ListenBounds
}

/** Follows the readers of the store and passes the view of this process on. */
export interface ViewSharing {
  close (): Promise<void>
}

/** Interval in milliseconds at which the readers are chosen again and the age of their view is checked. */
const checkMs = 200
const connectTimeoutMs = 500
/** Delay in milliseconds after which a reader is tried again. */
const reconnectMs = 1_000
/** Time in milliseconds after which changes that a reader did not send are requested from another one. */
const requestTimeoutMs = 300

function canFollow (state: ViewState, knowsEras: boolean): boolean { return knowsEras || (state.era ?? 0) === 0 }

interface ReaderLink {
  connection?: Connection
  /** Time in milliseconds before which the reader is not tried again. */
  retryAtMs: number
}

/**
 * Follows the processes that read the store and passes the view of this process on to those that follow it.
 *
 * @param options the directory, the addresses, the timer and the log
 * @returns a handle that stops it
 *
 * @example
 * ```ts
 * import { shareView } from 'briarloom/directory'
 *
 * console.assert(typeof shareView === 'function')
 * ```
 */
export async function shareView (options: ShareViewOptions): Promise<ViewSharing> {
  const { directory, timer, log, address } = options
  /** Connections of followers; true for those that know eras. Others would take the revisions of a later era for their own. */
  const followers = new Map<Connection, boolean>()
  const links = new Map<string, ReaderLink>()
  let isClosed = false
  /** Time in milliseconds until which the reply to a request for changes is awaited, the reader that was asked, and what has come of the reply. */
  let requestedUntilMs = -Infinity
  let requestedFrom: Connection | undefined
  let receivedBytes = 0
  const pack = createChangesPacker()

  function sendState (): void {
    const state = followers.size === 0 ? undefined : directory.viewState()
    if (state === undefined) return
    const failureAgeMs = directory.failureAgeMs()
    const failure = failureAgeMs === undefined ? {} : { failureAgeMs }
    for (const [follower, knowsEras] of followers) if (canFollow(state, knowsEras)) follower.send({ kind: MessageKind.ViewState, ...state, ...failure })
  }

  function onFollowerMessage (connection: Connection, msg: Message): void {
    if (msg.kind !== MessageKind.ViewRequest) return
    followers.set(connection, msg.era !== undefined)
    const update = directory.changesAfter(msg.after, msg.era ?? 0)
    if (update === undefined || !canFollow(update.state, msg.era !== undefined)) return
    const { state, changes, ...rest } = update
    const key = JSON.stringify([msg.after, rest.afterEra, state.era, state.revisions, rest.complete])
    const carried = msg.readsPacked === true ? pack(key, changes) : { changes }
    connection.send({ kind: MessageKind.ViewChanges, after: msg.after, ...state, ...rest, ...carried })
  }

  function request (connection: Connection): void {
    const after = directory.viewState()?.revisions ?? []
    if (!connection.send({ kind: MessageKind.ViewRequest, after, era: directory.storeEra(), readsPacked: true })) return
    requestedUntilMs = timer.now() + requestTimeoutMs
    requestedFrom = connection
    receivedBytes = 0
  }

  /** Tells whether the reply to a request may still come: a second copy of a large one would only delay the first. */
  function isReplyAwaited (): boolean {
    if (timer.now() < requestedUntilMs) return true
    const bytes = requestedFrom?.receivingBytes ?? 0
    if (bytes <= receivedBytes) return false
    receivedBytes = bytes
    requestedUntilMs = timer.now() + requestTimeoutMs
    return true
  }

  function onReaderMessage (connection: Connection, msg: Message): void {
    if (msg.kind === MessageKind.ViewState) {
      if (directory.recordViewState(msg, msg.failureAgeMs) && !isReplyAwaited()) request(connection)
    } else if (msg.kind === MessageKind.ViewChanges) {
      requestedUntilMs = -Infinity
      requestedFrom = undefined
      const changes = decodeChanges(msg)
      if (changes.ok) directory.applyChanges(msg.after, { ...msg, state: msg, changes: changes.val })
      else log.warn({ reader: connection.remoteAddress, reason: changes.val }, 'changes of a store reader not read')
    }
  }

  async function follow (reader: string): Promise<void> {
    const link: ReaderLink = { retryAtMs: timer.now() + reconnectMs }
    links.set(reader, link)
    const connected = await connect({ address: reader, connectTimeoutMs })
    if (connected.err) return
    if (isClosed || links.get(reader) !== link) {
      connected.val.close()
      return
    }
    const connection = connected.val
    link.connection = connection
    connection.onClose((reason) => {
      delete link.connection
      if (!isClosed && links.get(reader) === link) log.info({ reader, reason }, 'store reader lost')
    })
    connection.onMessage((msg) => onReaderMessage(connection, msg))
    request(connection)
    log.info({ reader }, 'store reader followed')
  }

  function check (): void {
    const readers = options.readers()
    directory.setReader(address !== undefined && readers.includes(address))
    for (const [reader, link] of links) {
      if (readers.includes(reader)) continue
      links.delete(reader)
      link.connection?.close()
    }
    for (const reader of readers) {
      const link = links.get(reader)
      const isDue = link === undefined || (link.connection === undefined && timer.now() >= link.retryAtMs)
      if (reader !== address && isDue && directory.viewState() !== undefined) follow(reader)
    }
    directory.checkCoverage()
  }

  directory.onView(sendState)
  const checks = timer.every(checkMs, check)
  const listenAddress = address === undefined ? undefined : parseAddress(address)
  const listener = listenAddress === undefined || listenAddress.err
    ? undefined
    : await listen({
      ...listenAddress.val,
      ...options.bounds,
      onConnection (connection) {
        connection.onClose(() => { followers.delete(connection) })
        connection.onMessage((msg) => onFollowerMessage(connection, msg))
      }
    })
  if (listener?.err) log.error({ reason: listener.val.message }, 'not listening')

  return {
    async close () {
      isClosed = true
      checks.cancel()
      for (const link of links.values()) link.connection?.close()
      if (listener?.ok) await listener.val.close()
    }
  }
}
