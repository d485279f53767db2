/**
 * The HTTP server for callers: limits, routes and request bodies.
 */
import { createServer } from 'node:http'
import { Err, Ok } from '../core/results/mod.ts'
import { boundConnections, createBodyReader, manageConnections } from '../http/mod.ts'
import { createBodyRefusal, createClientError, createHandlerError, sendRefusal } from './_refusals.ts'
import type { AddressInfo } from 'node:net'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Result } from '../core/results/mod.ts'
import type { ByteBudget } from '../core/stream/mod.ts'
import type { BodyReader } from '../http/mod.ts'
import type { Log } from '../log/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { HttpRefusal } from './_refusals.ts'

/** A caller's HTTP request and its response, as passed to handlers. */
export interface HttpCall {
  req: IncomingMessage
  res: ServerResponse
  /** Path without the query. */
  path: string
  /** Path with the query. */
  url: string
  requestId: string
  /** Reads the body of the request. */
  bodies: BodyReader
  /** Bounds the bytes that are held for callers. */
  budget: ByteBudget
}

/** Handles one route. */
export interface HttpRoute {
  /** HTTP method, or `*`. */
  method: string
  /** Whole path, or a prefix when it ends in `/`. */
  path: string
  handle (call: HttpCall): Promise<void> | void
}

/** Configures the server. */
export interface HttpServerOptions {
  host: string
  port: number
  routes: HttpRoute[]
  maxHeaderBytes: number
  /** Largest number of open connections. */
  maxConnections: number
  /** Bounds the bytes of the bodies that are read or held. */
  budget: ByteBudget
  /** Memory of the process in bytes from which on long bodies are read slowly. */
  slowFromBytes: number
  nextRequestId: () => string
  timer: Timer
  log: Log
  /** Called with the error of a handler that threw, which is a bug in this process. */
  onHandlerError: (requestId: string, err: unknown) => void
}

/** A running server. */
export interface HttpServer {
  address: string
  /** Stops accepting connections; resolves when every open one has ended. */
  close (): Promise<void>
  /** Closes every connection immediately. */
  closeNow (): void
}

const headersTimeoutMs = 10_000
const requestTimeoutMs = 30_000
const keepAliveTimeoutMs = 5000

function findRoute (routes: HttpRoute[], method: string, path: string): Result<HttpRoute, HttpRefusal> {
  const matching = routes.filter((route) => route.path.endsWith('/') ? path.startsWith(route.path) : path === route.path)
  const route = matching.find((candidate) => candidate.method === '*' || candidate.method === method)
  if (route !== undefined) return Ok(route)
  if (matching.length > 0) return Err(createClientError(405, 'method_not_allowed', `method "${method}" is not allowed for "${path}"`))
  return Err(createClientError(404, 'not_found', `path "${path}" does not exist`))
}

/**
 * Starts the server.
 */
export function startHttpServer (options: HttpServerOptions): Promise<Result<HttpServer, string>> {
  async function serve (req: IncomingMessage, res: ServerResponse, requestId: string): Promise<void> {
    res.setHeader('x-request-id', requestId)
    const url = req.url ?? '/'
    const path = url.split('?', 1)[0] ?? '/'
    const route = findRoute(options.routes, req.method ?? 'GET', path)
    if (route.err) {
      bodies.discard(req)
      sendRefusal(res, route.val)
    }
    if (route.ok) await route.val.handle({ req, res, path, url, requestId, bodies, budget })
  }

  const server = createServer({
    maxHeaderSize: options.maxHeaderBytes,
    headersTimeout: headersTimeoutMs,
    requestTimeout: requestTimeoutMs,
    keepAliveTimeout: keepAliveTimeoutMs,
    noDelay: true
  })
  const { timer, log, budget, slowFromBytes, maxConnections } = options
  const bodies = createBodyReader({ timer, budget, slowFromBytes })
  boundConnections(server, { timer, maxConnections })
  const connections = manageConnections(server, { timer, log, idleTimeoutMs: keepAliveTimeoutMs })
  server.on('request', (req, res) => {
    const requestId = options.nextRequestId()
    res.on('error', () => {})
    connections.admit({ req, res, requestId }, {
      serve () {
        serve(req, res, requestId).catch((err: unknown) => {
          options.onHandlerError(requestId, err)
          if (res.headersSent) res.destroy()
          else sendRefusal(res, createHandlerError())
        })
      },
      onUnanswered: ({ requestId: request, ...fields }) => log.warn({ request, ...fields }, 'closed without a complete response')
    })
  })
  return new Promise((resolve) => {
    server.once('error', (err) => resolve(Err(`cannot listen at "${options.host}:${options.port}": ${err.message}`)))
    server.listen(options.port, options.host, () => {
      const { address, port } = server.address() as AddressInfo
      resolve(Ok({
        address: `${address}:${port}`,
        close: () => new Promise((resolve) => {
          server.close(() => resolve())
          server.closeIdleConnections()
        }),
        closeNow: () => server.closeAllConnections()
      }))
    })
  })
}

/**
 * Reads the body of a request up to a limit.
 *
 * @param bodies the reader of the server
 * @param call the request and its response
 * @param maxBytes largest body accepted, in bytes
 * @returns the body; a refusal with status 413, 503 or 408, or one with status 400 when the connection closed before the end of the body
 */
export function readBody (
  bodies: BodyReader, { req, res }: Pick<HttpCall, 'req' | 'res'>, maxBytes: number
): Promise<Result<Buffer, HttpRefusal>> {
  return new Promise((resolve) => {
    bodies.read(req, res, {
      maxBytes: () => maxBytes, onBody: (body) => resolve(Ok(body)), onFault: (fault) => resolve(Err(createBodyRefusal(fault, maxBytes)))
    })
  })
}
