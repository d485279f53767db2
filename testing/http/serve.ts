/**
 * An HTTP server with a table of routes, fault injection and a second port for control, which faults don't affect.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { FaultKind } from '../faults/mod.ts'
import type { FaultGate } from '../faults/mod.ts'

/** Carries one HTTP request to its handler. */
export interface HttpCall {
  req: IncomingMessage
  res: ServerResponse
  method: string
  path: string
  query: URLSearchParams
  /** Body of the request. */
  body: Buffer
  /** Parses the body as a JSON object; an empty body gives an empty object. */
  parseJson<T> (): T
  /** Responds with a status and a JSON body; does nothing when the response has begun or the connection is closed. */
  reply (status: number, value: unknown): void
}

/** Responds to one HTTP request. */
export type HttpHandler = (call: HttpCall) => Promise<void> | void

/** Configures the server of a stand-in. */
export interface ServeOptions {
  /** Port to listen on; 0 takes a free one. */
  port: number
  gate: FaultGate
  /** Handlers by `METHOD /path`; a path that ends in `*` matches every path with that prefix. */
  routes: { [route: string]: HttpHandler }
  /** Handlers of control calls, in the same form; they are served at both ports, and also while the stand-in is frozen. */
  controlRoutes: { [route: string]: HttpHandler }
}

/** A listening server. */
export interface RunningServer {
  /** Address `ip:port` of the stand-in. */
  address: string
  /** Address `ip:port` of the control port, which stays open and delays no call while faults are active. */
  controlAddress: string
  /** Closes every connection and both ports. */
  close (): Promise<void>
}

const host = '127.0.0.1'

function findHandler (table: ServeOptions['routes'], method: string, path: string): HttpHandler | undefined {
  const exact = table[`${method} ${path}`]
  if (exact) return exact
  for (const [route, handler] of Object.entries(table)) {
    const [routeMethod, pattern = ''] = route.split(' ')
    const isSameMethod = routeMethod === '*' || routeMethod === method
    if (isSameMethod && pattern.endsWith('*') && path.startsWith(pattern.slice(0, -1))) return handler
  }
  return undefined
}

async function readBody (req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of req) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks)
}

function createCall (req: IncomingMessage, res: ServerResponse, body: Buffer): HttpCall {
  const url = new URL(req.url ?? '/', 'http://stand-in')
  return {
    req,
    res,
    method: req.method ?? 'GET',
    path: decodeURIComponent(url.pathname),
    query: url.searchParams,
    body,
    parseJson: <T>() => JSON.parse(body.length > 0 ? body.toString() : '{}') as T,
    reply (status, value) {
      if (res.headersSent || res.destroyed) return
      res.writeHead(status, { 'content-type': 'application/json' })
      res.end(JSON.stringify(value))
    }
  }
}

function createFaultHandler (gate: FaultGate): HttpHandler {
  return (call) => {
    const { kind, ms } = call.parseJson<{ kind: FaultKind, ms?: number }>()
    if (!Object.values(FaultKind).includes(kind)) return call.reply(400, { error: `fault "${kind}" does not exist` })
    call.reply(200, {})
    // The response is sent first, because the fault may close this connection.
    setImmediate(() => gate.setFault(kind, ms ?? 0))
  }
}

async function dispatch (call: HttpCall, handler: HttpHandler | undefined): Promise<void> {
  if (!handler) return call.reply(404, { error: `route "${call.method} ${call.path}" does not exist` })
  try {
    await handler(call)
  } catch (err) {
    call.reply(400, { error: String(err) })
  }
}

async function listen (server: Server, port: number): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      server.off('error', reject)
      resolve()
    })
  })
  return (server.address() as AddressInfo).port
}

function isPortClosed (gate: FaultGate): boolean {
  return gate.isActive(FaultKind.ClosePort) || gate.isActive(FaultKind.Down)
}

/**
 * Starts the server of a stand-in on the loopback address.
 *
 * @param options the port, the fault gate and the routes
 * @returns the addresses, and a function that stops the server
 * @throws when the port can't be bound
 *
 * @example
 * ```ts
 * import { createFaultGate } from 'briarloom/testing/faults'
 * import { serve } from 'briarloom/testing/http'
 * import { createSystemTimer } from 'briarloom/timer'
 *
 * const timer = createSystemTimer()
 * const served = await serve({ port: 0, gate: createFaultGate({ timer }), routes: {}, control: {} })
 * await served.close()
 * timer.close()
 * ```
 */
export async function serve (options: ServeOptions): Promise<RunningServer> {
  const { gate, routes } = options
  const controlRoutes = { 'POST /fault': createFaultHandler(gate), ...options.controlRoutes }
  const sockets = new Set<Socket>()
  let isClosed = false

  async function onRequest (req: IncomingMessage, res: ServerResponse, isGated: boolean): Promise<void> {
    const call = createCall(req, res, await readBody(req))
    const controlHandler = findHandler(controlRoutes, call.method, call.path)
    if (controlHandler) return dispatch(call, controlHandler)
    if (isGated) await gate.applyDelays()
    await dispatch(call, findHandler(routes, call.method, call.path))
  }

  function createListener (isGated: boolean) {
    return (req: IncomingMessage, res: ServerResponse) => {
      onRequest(req, res, isGated).catch(() => res.destroy())
    }
  }

  const mainServer = createServer({ keepAliveTimeout: 60_000 }, createListener(true))
  const controlServer = createServer(createListener(false))
  mainServer.on('connection', (socket: Socket) => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
  })
  const port = await listen(mainServer, options.port)
  const controlPort = await listen(controlServer, 0)

  gate.onChange(() => {
    if (isPortClosed(gate)) {
      if (mainServer.listening) mainServer.close()
      for (const socket of sockets) socket.destroy()
    } else if (!isClosed && !mainServer.listening) {
      mainServer.listen(port, host)
    }
  })

  return {
    address: `${host}:${port}`,
    controlAddress: `${host}:${controlPort}`,
    async close () {
      isClosed = true
      for (const server of [mainServer, controlServer]) {
        server.closeAllConnections()
        if (server.listening) await new Promise<void>((resolve) => server.close(() => resolve()))
      }
    }
  }
}
