/**
 * The HTTP server for callers: limits, routes and request bodies.
 */
import { createServer } from 'node:http'
import { Err, Ok } from '../core/results/mod.ts'
import { manageConnections } from '../http/mod.ts'
import { createClientError, createHandlerError, sendRefusal } from './_refusals.ts'
import type { AddressInfo } from 'node:net'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Result } from '../core/results/mod.ts'
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
    if (route.err) sendRefusal(res, route.val)
    else await route.val.handle({ req, res, path, url, requestId })
  }

  const server = createServer({
    maxHeaderSize: options.maxHeaderBytes,
    headersTimeout: headersTimeoutMs,
    requestTimeout: requestTimeoutMs,
    keepAliveTimeout: keepAliveTimeoutMs,
    noDelay: true
  })
  const { timer, log } = options
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
 * @param req the request
 * @param maxBytes largest body accepted, in bytes
 * @returns the body, a refusal with status 413, or one with status 400 when the connection closed before the end of the body
 */
export function readBody (req: IncomingMessage, maxBytes: number): Promise<Result<Buffer, HttpRefusal>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let length = 0
    req.on('data', (chunk: Buffer) => {
      length += chunk.length
      if (length > maxBytes) {
        // The rest is read and discarded: closing now would reset the connection before the caller reads the refusal.
        chunks.length = 0
        resolve(Err(createClientError(413, 'body_too_large', `body is larger than ${maxBytes} bytes`)))
        return
      }
      chunks.push(chunk)
    })
    req.on('end', () => resolve(Ok(Buffer.concat(chunks))))
    req.on('close', () => resolve(Err(createClientError(400, 'body_incomplete', 'body ended early'))))
    req.on('error', () => resolve(Err(createClientError(400, 'body_incomplete', 'body ended early'))))
  })
}
