/**
 * Kept connections to servers, each of which carries one exchange at a time.
 */
import { connect } from 'node:net'
// The index of undici also loads fetch, caches and WebSockets, which take two thirds of its loading time.
import Client from 'undici/lib/dispatcher/client.js'
import { FailureKind } from './_types.ts'
import type { Socket } from 'node:net'
import type { buildConnector, Client as ClientType, Dispatcher } from 'undici'
import type { Exchange, ExchangeHandlers, ExchangePool, ExchangeRequest } from './_types.ts'

/** Configures a pool. */
export interface ExchangePoolOptions {
  /** Time in milliseconds within which a connection must be made; 1,000 by default. */
  connectTimeoutMs?: number
  /** Time in milliseconds after which an idle connection is closed, where the server names none; 4,000 by default. */
  idleTimeoutMs?: number
  /** Most bytes of a header that is accepted; 64 KiB by default. */
  maxHeaderBytes?: number
}

/** A lost opening packet is sent again after one second; waiting for a second one costs more than another server. */
const defaultConnectTimeoutMs = 1_000
const defaultIdleTimeoutMs = 4_000
const defaultMaxHeaderBytes = 65_536
/** A connection is given up this many milliseconds before the server says that it closes it: two trips across regions, and a margin. */
const keepAliveMarginMs = 300
/** Idle time in milliseconds before the operating system checks whether the peer is alive. */
const probeIdleMs = 1_000

interface Line {
  client: ClientType
  used: boolean
  /** True when the server closed its end. */
  ended: boolean
  /** True when the connection was reset. */
  failed: boolean
}

/**
 * Creates a pool without connections.
 *
 * The parser treats a reset as the end of an answer whose end is not marked, so the pool watches the sockets itself: an answer
 * counts as complete only when its length says so, or, without a length, when the server closed in order.
 *
 * @param options timeouts and bounds
 * @returns the pool
 *
 * @example
 * ```ts
 * import { createExchangePool } from 'briarloom/exchange'
 *
 * await createExchangePool().close()
 * ```
 */
export function createExchangePool (options: ExchangePoolOptions = {}): ExchangePool {
  const connectTimeoutMs = options.connectTimeoutMs ?? defaultConnectTimeoutMs
  const idle = new Map<string, Line[]>()
  const lines = new Set<Line>()

  function drop (address: string, line: Line): void {
    lines.delete(line)
    const kept = idle.get(address)?.filter((other) => other !== line)
    if (kept === undefined || kept.length === 0) idle.delete(address)
    else idle.set(address, kept)
    line.client.destroy().catch(() => {}) // The client is given up; there is nobody to tell.
  }

  function open (address: string): Line {
    const line: Line = { client: undefined as unknown as ClientType, used: false, ended: false, failed: false }
    line.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      allowH2: false,
      keepAliveTimeout: options.idleTimeoutMs ?? defaultIdleTimeoutMs,
      keepAliveTimeoutThreshold: keepAliveMarginMs,
      maxHeaderSize: options.maxHeaderBytes ?? defaultMaxHeaderBytes,
      connect: (target, done) => dial(line, target, done)
    })
    line.client.on('disconnect', () => drop(address, line))
    lines.add(line)
    return line
  }

  function dial (line: Line, target: buildConnector.Options, done: buildConnector.Callback): void {
    const socket: Socket = connect({ host: target.hostname, port: Number(target.port || 80), noDelay: true })
    const fail = (err: Error): void => {
      socket.destroy()
      done(err, null)
    }
    socket.setTimeout(connectTimeoutMs, () => fail(new Error(`connection was not made within ${connectTimeoutMs} ms`)))
    socket.once('error', fail)
    socket.once('connect', () => {
      socket.setTimeout(0)
      socket.removeAllListeners('timeout')
      socket.off('error', fail)
      socket.setKeepAlive(true, probeIdleMs)
      socket.on('error', () => { line.failed = true })
      socket.on('end', () => { line.ended = true })
      done(null, socket)
    })
  }

  function send (address: string, req: ExchangeRequest, handlers: ExchangeHandlers): Exchange {
    const line = idle.get(address)?.pop() ?? open(address)
    return exchange(line, req, handlers, {
      release: () => {
        if (!lines.has(line) || line.ended || line.failed || line.client.destroyed) return
        idle.set(address, [...idle.get(address) ?? [], line])
      },
      drop: () => drop(address, line)
    })
  }

  return {
    send,
    closeIdle (address) {
      for (const line of idle.get(address) ?? []) drop(address, line)
    },
    async close () {
      const open = [...lines]
      lines.clear()
      idle.clear()
      await Promise.all(open.map((line) => line.client.destroy()))
    }
  }
}

interface LineOwner {
  /** Gives the connection back for the next exchange. */
  release (): void
  drop (): void
}

/** Runs one exchange on a connection. */
function exchange (line: Line, req: ExchangeRequest, handlers: ExchangeHandlers, owner: LineOwner): Exchange {
  const kept = line.used
  let started = false
  let over = false
  let unframed = false
  let controller: Dispatcher.DispatchController | undefined
  line.used = true

  function fail (kind: FailureKind, message: string): void {
    if (over) return
    over = true
    owner.drop()
    handlers.onFail({ kind, message, isReused: kept })
  }

  function end (): void {
    if (over) return
    const whole = !line.failed && line.ended === unframed
    if (!whole) {
      fail(FailureKind.Broken, 'the connection ended before the answer did')
      return
    }
    over = true
    if (unframed) owner.drop()
    else owner.release()
    handlers.onEnd()
  }

  line.client.dispatch({ method: req.method as Dispatcher.HttpMethod, path: req.path, headers: req.headers, body: req.body }, {
    onRequestStart (control) {
      started = true
      controller = control
      if (over) control.abort(new Error('given up'))
    },
    onResponseStart (control, status) {
      if (over || status < 200) return
      const raw = (control.rawHeaders ?? []) as Array<Buffer | string>
      const headers = raw.map((part) => typeof part === 'string' ? part : part.toString('latin1'))
      unframed = isUnframed(status, headers, req.method)
      if (!handlers.onHead(status, headers, unframed)) fail(FailureKind.Broken, `the answer with status ${status} belongs to another request`)
    },
    onResponseData (_control, chunk) { if (!over) handlers.onData(chunk) },
    onResponseEnd: end,
    onResponseError (_control, err) {
      const code = (err as { code?: string }).code ?? ''
      const kind = started ? FailureKind.Broken : code === 'UND_ERR_INVALID_ARG' ? FailureKind.Malformed : FailureKind.Unreachable
      fail(kind, err.message)
    }
  })

  return {
    abort () {
      if (over) return
      over = true
      controller?.abort(new Error('given up'))
      owner.drop()
    },
    pause: () => { if (!over) controller?.pause() },
    resume: () => { if (!over) controller?.resume() }
  }
}

function isUnframed (status: number, headers: string[], method: string): boolean {
  if (method === 'HEAD' || status === 204 || status === 304) return false
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = (headers[i] as string).toLowerCase()
    if (name === 'content-length' || name === 'transfer-encoding') return false
  }
  return true
}
