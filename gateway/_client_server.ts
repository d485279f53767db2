/**
 * Accepts the requests of clients, within the operator's limits.
 */
import { createServer } from 'node:http'
import { chooseTarget, RequestKind } from '../core/route/mod.ts'
import { Count, Latency } from '../metrics/mod.ts'
import { decodeRequestHead } from '../platform/mod.ts'
import { createReply } from './_reply.ts'
import { serveGeneration } from './_serve_generation.ts'
import { servePlain } from './_serve_plain.ts'
import { StopReason } from './_types.ts'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { ClientLimits, RouteRule } from '../core/route/mod.ts'
import type { RequestResult, ClientRequest, GatewayContext } from './_types.ts'

/** Accepts the requests of clients. */
export interface ClientServer {
  readonly server: Server
  /** Number of requests that have no complete answer yet. */
  inFlight (): number
  /** Sets the limits that the operator's rules name. */
  setLimits (limits: ClientLimits): void
  /** Lets every answer from now on close its connection, and refuses what cannot end within `graceMs` milliseconds. */
  drain (graceMs: number): void
}

type Serve = (shared: GatewayContext, job: ClientRequest) => Promise<RequestResult>

/** Ways to serve by the kind of the service's workers. */
const ways: { readonly [K in 'plain' | 'engine']: Serve } = { plain: servePlain, engine: serveGeneration }

/** Time in milliseconds before a client's own deadline at which its final answer leaves, so that it arrives in time. */
const answerTripMs = 20
/** Time in milliseconds after which a client is asked to come back while the rules are not known yet. */
const notReadyRetryMs = 500

/** Time in milliseconds for which a request waits for the first rules and workers; a store that answers has told of them by then. */
const viewWaitMs = 400
const viewCheckMs = 20
/** Time in milliseconds after SIGTERM up to which streams are taken; the balancer has taken the process out by then. */
const lastStreamMs = 3_000
/** Time in milliseconds from the end of a process until the next one serves. */
const restartMs = 1_000
/** Status from which on an answer is logged as a failure. */
const failedStatus = 400

const clientErrors: { readonly [code: string]: number } = { HPE_HEADER_OVERFLOW: 431, ERR_HTTP_REQUEST_TIMEOUT: 408 }
const statusTexts: { readonly [status: number]: string } = {
  400: 'Bad Request', 408: 'Request Timeout', 431: 'Request Header Fields Too Large'
}

/** Creates the front of a gateway; it listens when told to. */
export function createClientServer (shared: GatewayContext): ClientServer {
  const { timer, log, directory } = shared
  let inFlight = 0
  let draining = false
  let drainedMs = Infinity
  let endMs = Infinity
  const server = createServer({ keepAlive: true, noDelay: true, connectionsCheckingInterval: 500 }, onRequest)
  server.requestTimeout = 0
  server.on('clientError', onClientError)

  function onClientError (err: NodeJS.ErrnoException, socket: Socket): void {
    if (err.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy()
      return
    }
    const status = clientErrors[err.code ?? ''] ?? 400
    log.info({ status, reason: err.code }, 'bad request')
    socket.end(`HTTP/1.1 ${status} ${statusTexts[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
  }

  function onRequest (req: IncomingMessage, res: ServerResponse): void {
    inFlight++
    res.once('close', () => { inFlight-- })
    onceViewed(timer.now(), () => accept(req, res))
  }

  /** Calls `fn` as soon as rules and workers are known, or when waiting for them has taken too long. */
  function onceViewed (sinceMs: number, fn: () => void): void {
    const isViewed = directory.routeTable() !== undefined && directory.fleet.all().length > 0
    if (isViewed || timer.now() - sinceMs >= viewWaitMs) fn()
    else timer.after(viewCheckMs, () => onceViewed(sinceMs, fn))
  }

  /** Tells whether a request can end before the process does; streams take longer than a grace period has left. */
  function fitsGrace (route: RouteRule): boolean {
    if (!draining) return true
    const nowMs = timer.now()
    if (route.kind === RequestKind.Streaming) return nowMs - drainedMs < lastStreamMs
    return nowMs + route.timeoutMs < endMs
  }

  function accept (req: IncomingMessage, res: ServerResponse): void {
    const startedMs = timer.now()
    if (draining) res.shouldKeepAlive = false
    const head = decodeRequestHead(req.rawHeaders)
    const reply = createReply(res, head.requestId)
    const answer = (status: number, reason: string, retryAfterMs?: number): void => {
      req.resume()
      if (!req.complete) res.shouldKeepAlive = false
      reply.sendLocal(retryAfterMs === undefined ? { status, reason } : { status, reason, retryAfterMs })
      log.warn({ request: head.requestId, status, reason }, 'refused')
      shared.metrics.count(Count.Requests, { service: '', status: String(status), reason })
    }
    const table = directory.routeTable()
    if (table === undefined) return answer(503, 'not_ready', notReadyRetryMs)
    if (head.requestId === undefined) return answer(400, 'no_request_id')
    const route = table.findRoute(req.headers.host ?? '', req.url ?? '/')
    if (route === undefined) return answer(404, 'no_route')
    if (!fitsGrace(route)) return answer(503, 'stopping', Math.max(0, endMs - timer.now()) + restartMs)
    const service = table.getService(chooseTarget(route, shared.random()) ?? '')
    if (service === undefined) return answer(503, 'no_service', notReadyRetryMs)
    if (Number(req.headers['content-length'] ?? 0) > table.limits.maxBodyBytes) return answer(413, 'body_too_large')

    const waitMs = Math.min(route.timeoutMs, (head.deadlineMs ?? Infinity) - answerTripMs)
    const deadlineMs = startedMs + Math.max(1, waitMs)
    let stopped: StopReason | undefined
    const stops: Array<(reason: StopReason) => void> = []
    const stop = (reason: StopReason): void => {
      if (stopped !== undefined) return
      stopped = reason
      for (const fn of stops.splice(0)) fn(reason)
    }
    const timeUp = timer.after(deadlineMs - timer.now(), () => stop(StopReason.DeadlineExceeded))
    res.once('close', () => {
      timeUp.cancel()
      if (!res.writableFinished) stop(StopReason.ClientDisconnected)
    })
    const onStop = (fn: (reason: StopReason) => void): void => {
      if (stopped === undefined) stops.push(fn)
      else fn(stopped)
    }
    let reading = true
    onStop((reason) => { if (reading && reason === StopReason.DeadlineExceeded) answer(408, 'body_too_slow') })
    readBody(req, table.limits.maxBodyBytes, (body) => {
      reading = false
      if (stopped !== undefined) return
      if (body === undefined) return answer(413, 'body_too_large')
      const job: ClientRequest = {
        requestId: head.requestId as string,
        method: req.method ?? 'GET',
        path: req.url ?? '/',
        head,
        body,
        route,
        service,
        reply,
        startedMs,
        deadlineMs,
        onStop,
        stopReason: () => stopped
      }
      shared.retryBudget(service.name).recordRequest(timer.now())
      serve(job)
    })
  }

  async function serve (job: ClientRequest): Promise<void> {
    const ended = await (job.service.engine === undefined ? ways.plain : ways.engine)(shared, job)
    const tookMs = Math.round(timer.now() - job.startedMs)
    const { promptTokens, maxOutputTokens, likelyOutputTokens } = job.head
    const size = promptTokens === 0 ? {} : { promptTokens, maxOutputTokens, likelyOutputTokens }
    const fields = {
      request: job.requestId, route: job.route.name, service: job.service.name, version: directory.routeTable()?.version, tookMs, ...size, ...ended
    }
    if (ended.status >= failedStatus) log.warn(fields, 'ended')
    else log.info(fields, 'ended')
    measure(job, ended, tookMs)
  }

  function measure (job: ClientRequest, ended: RequestResult, tookMs: number): void {
    const reason = ended.reason.length > 0 ? ended.reason : 'answered'
    shared.metrics.count(Count.Requests, { service: job.service.name, status: String(ended.status), reason })
    shared.metrics.observe(Latency.Request, tookMs)
    const latencies: Array<[Latency, number | undefined]> = [
      [Latency.FirstEvent, ended.firstMs], [Latency.Pause, ended.pauseMs], [Latency.Hold, ended.holdMs], [Latency.Prefill, ended.prefillMs]
    ]
    for (const [metric, ms] of latencies) if (ms !== undefined) shared.metrics.observe(metric, ms)
  }

  return {
    server,
    inFlight: () => inFlight,
    setLimits (limits) {
      server.headersTimeout = limits.headerTimeoutMs
      server.keepAliveTimeout = limits.idleTimeoutMs
      // Node reads the bound for each new connection, but its types know it only as an option of the constructor.
      Object.assign(server, { maxHeaderSize: limits.maxHeaderBytes })
    },
    drain (graceMs) {
      draining = true
      drainedMs = timer.now()
      endMs = drainedMs + graceMs
    }
  }
}

/** Reads a body whole; answers undefined once it is longer than allowed. */
function readBody (req: IncomingMessage, maxBytes: number, done: (body: Buffer | undefined) => void): void {
  const chunks: Buffer[] = []
  let bytes = 0
  req.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    if (bytes <= maxBytes) chunks.push(chunk)
    else if (bytes - chunk.length <= maxBytes) done(undefined)
  })
  req.on('end', () => { if (bytes <= maxBytes) done(Buffer.concat(chunks, bytes)) })
  req.on('error', () => {}) // The response closes with the request, and that ends the job.
}
