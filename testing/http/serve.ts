/**
 * An HTTP server with a table of routes, fault switches and a control listener that faults leave alone.
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
  /** Answers with a status and a JSON body. */
  reply (status: number, value: unknown): void
}

/** Answers one HTTP request. */
export type HttpHandler = (call: HttpCall) => Promise<void> | void

/** Configures the server of a stand-in. */
export interface ServeOptions {
  /** Port to listen on; 0 takes a free one. */
  port: number
  gate: FaultGate
  /** Handlers by `METHOD /path`; a path that ends in `*` matches every path with that prefix. */
  routes: { [route: string]: HttpHandler }
  /** Routes that stay answered while the stand-in is frozen. */
  controlRoutes: { [route: string]: HttpHandler }
}

/** A listening stand-in. */
export interface RunningServer {
  /** Address `ip:port` of the stand-in. */
  address: string
  /** Address `ip:port` on which control calls are answered whatever fault is in force. */
  controlAddress: string
  /** Closes every connection and stops to listen. */
  close (): Promise<void>
}

const host = '127.0.0.1'

function findHandler (table: ServeOptions['routes'], method: string, path: string): HttpHandler | undefined {
  const exact = table[`${method} ${path}`]
  if (exact) return exact
  for (const [route, handler] of Object.entries(table)) {
    const [wanted, pattern = ''] = route.split(' ')
    const sameMethod = wanted === '*' || wanted === method
    if (sameMethod && pattern.endsWith('*') && path.startsWith(pattern.slice(0, -1))) return handler
  }
  return undefined
}

async function readBody (req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of req) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks)
}

function makeCall (req: IncomingMessage, res: ServerResponse, body: Buffer): HttpCall {
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

function faultRoute (gate: FaultGate): HttpHandler {
  return (call) => {
    const { kind, ms } = call.parseJson<{ kind: FaultKind, ms?: number }>()
    if (!Object.values(FaultKind).includes(kind)) return call.reply(400, { error: `fault "${kind}" does not exist` })
    call.reply(200, {})
    // The answer leaves before a fault that closes connections takes effect.
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

function isCut (gate: FaultGate): boolean {
  return gate.isActive(FaultKind.ClosePort) || gate.isActive(FaultKind.Down)
}

/**
 * Starts the server of a stand-in on the loopback address.
 *
 * @param options the port, the fault switches and the routes
 * @returns the addresses and the means to stop
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
  const control = { 'POST /fault': faultRoute(gate), ...options.controlRoutes }
  const sockets = new Set<Socket>()
  let closed = false

  async function onRequest (req: IncomingMessage, res: ServerResponse, gated: boolean): Promise<void> {
    const call = makeCall(req, res, await readBody(req))
    const ungated = findHandler(control, call.method, call.path)
    if (ungated) return dispatch(call, ungated)
    if (gated) await gate.applyDelays()
    await dispatch(call, findHandler(routes, call.method, call.path))
  }

  function answer (gated: boolean) {
    return (req: IncomingMessage, res: ServerResponse) => {
      onRequest(req, res, gated).catch(() => res.destroy())
    }
  }

  const main = createServer({ keepAliveTimeout: 60_000 }, answer(true))
  const side = createServer(answer(false))
  main.on('connection', (socket: Socket) => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
  })
  const port = await listen(main, options.port)
  const sidePort = await listen(side, 0)

  gate.onChange(() => {
    if (isCut(gate)) {
      if (main.listening) main.close()
      for (const socket of sockets) socket.destroy()
    } else if (!closed && !main.listening) {
      main.listen(port, host)
    }
  })

  return {
    address: `${host}:${port}`,
    controlAddress: `${host}:${sidePort}`,
    async close () {
      closed = true
      for (const server of [main, side]) {
        server.closeAllConnections()
        if (server.listening) await new Promise<void>((resolve) => server.close(() => resolve()))
      }
    }
  }
}
