/**
 * The HTTP server for clients, which applies the operator's limits.
 */
import { createServer } from 'node:http'
import { getKeyLabel } from '../core/keys/mod.ts'
import { divideProcess } from '../core/bounds/mod.ts'
import { chooseTarget, RequestKind } from '../core/route/mod.ts'
import { Count } from '../metrics/mod.ts'
import { ClosedBy, createBodyReader, manageConnections } from '../http/mod.ts'
import { decodeRequestHead } from '../platform/mod.ts'
import { createCallerCheck, findCallerReply, getCallerReply, identify } from './_identify_caller.ts'
import { readBody } from './_read_body.ts'
import { recordResult } from './_record_result.ts'
import { createRefusal } from './_refuse_request.ts'
import { createReply } from './_reply.ts'
import { createStopSignal } from './_stop_signal.ts'
import { serveRequest } from './_serve_request.ts'
import { StopReason } from './_types.ts'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { UnansweredRequest } from '../http/mod.ts'
import type { RequestHead } from '../platform/mod.ts'
import type { ClientLimits, RouteRule } from '../core/route/mod.ts'
import type { CallerReply } from './_identify_caller.ts'
import type { Reply } from './_reply.ts'
import type { ClientRequest, GatewayContext } from './_types.ts'

/** Receives the requests of clients and has them served. */
export interface ClientServer {
  readonly server: Server
  /** Returns the number of requests without a complete response. */
  inFlight (): number
  /** Sets the limits of the operator's rules. */
  setLimits (limits: ClientLimits): void
  /** Closes each connection after its next response, and refuses requests that cannot end within `graceMs` milliseconds. */
  drain (graceMs: number): void
  /** Ends the requests that are left when the process exits: each gets its final response, or its response is broken off. */
  stopRequests (): void
  /** Closes all connections; a response that is not complete is reset, because the end of its connection might complete it. */
  close (): void
}

/** Time in milliseconds before the client's deadline at which the final response is sent, so that it arrives in time. */
const responseTripMs = 20
/** Delay in milliseconds after which a client may retry, while the rules are not known or name no such service. */
const notReadyRetryMs = 500

/** Longest time in milliseconds for which a request waits for the first rules and workers; a store that responds has sent them by then. */
const maxDirectoryWaitMs = 400
const directoryCheckMs = 20
/**
 * Time in milliseconds after SIGTERM for which new streams are accepted; the load balancer has removed the process by then. Clients whose
 * streams began in the first 3 s expect that the exit may cut them, and a busy process handles the signal late.
 */
const streamAcceptMs = 2_800
/** Time in milliseconds from the exit of a process until its successor serves. */
const restartMs = 1_000
/** Time in milliseconds after its deadline at which a request without a response is ended: a call about memory may be awaited until then. */
const unansweredMarginMs = 450

/** Creates the server for clients; the caller makes it listen. */
export function createClientServer (context: GatewayContext): ClientServer {
  const { timer, log, directory } = context
  let inFlight = 0
  let isDraining = false
  let drainStartMs = Infinity
  let exitMs = Infinity
  const openResponses = new Set<ServerResponse>()
  const stops = new Set<(reason: StopReason) => void>()
  const server = createServer({ keepAlive: true, noDelay: true, connectionsCheckingInterval: 500 }, onRequest)
  server.requestTimeout = 0
  const bodies = createBodyReader({
    timer,
    budget: context.heldBytes,
    slowFromBytes: divideProcess(context.settings).slowFromBytes,
    onCut: () => context.metrics.count(Count.ConnectionsClosed, { address: 'front', reason: 'body_after_refusal' })
  })
  bodies.watch(server)
  const connections = manageConnections(server, { timer, log, idleTimeoutMs: server.keepAliveTimeout, discard: bodies.discard })

  function onRequest (req: IncomingMessage, res: ServerResponse): void {
    const head = decodeRequestHead(req.rawHeaders)
    const reply = createReply(res, head.requestId, context.heldBytes)
    const version = directory.routeTable()?.version
    connections.admit({ req, res, requestId: head.requestId }, {
      serve: () => begin(req, res, head, reply),
      onUnanswered: (unanswered) => logUnanswered(unanswered, reply, version)
    })
  }

  function begin (req: IncomingMessage, res: ServerResponse, head: RequestHead, reply: Reply): void {
    inFlight++
    openResponses.add(res)
    res.once('close', () => {
      inFlight--
      openResponses.delete(res)
    })
    whenDirectoryReady(timer.now(), () => {
      try {
        if (openResponses.has(res)) accept(req, res, head, reply)
      } catch (err) {
        failUnexpectedly(reply, head.requestId, err)
      }
    })
  }

  /** Records a request whose connection closed before its response was complete, with the version of the rules at its acceptance. */
  function logUnanswered (unanswered: UnansweredRequest, reply: Reply, version: number | undefined): void {
    const { requestId: request, closedBy: side, ...fields } = unanswered
    const closedBy = reply.isFinished() ? ClosedBy.Process : side
    log.warn({ request, closedBy, ...fields, version, versionNow: directory.routeTable()?.version }, 'closed without a complete response')
    context.metrics.count(Count.Unanswered, { closed_by: closedBy })
  }

  /** Ends a request that met an error which no other part of the gateway expects; the worker may have run it. */
  function failUnexpectedly (reply: Reply, requestId: string | undefined, err: unknown): void {
    log.error({ requestId, err }, 'handler failed')
    if (reply.hasBegun()) reply.abort()
    else reply.sendLocal({ status: 500, reason: 'internal_error' })
  }

  /** Calls `fn` as soon as rules and workers are known, or after the longest wait for them. */
  function whenDirectoryReady (sinceMs: number, fn: () => void): void {
    const isDirectoryReady = directory.routeTable() !== undefined && directory.fleet.all().length > 0
    if (isDirectoryReady || timer.now() - sinceMs >= maxDirectoryWaitMs) fn()
    else timer.after(directoryCheckMs, () => whenDirectoryReady(sinceMs, fn))
  }

  /** Tells whether a request that would be passed on now can end before the process exits; streams outlast the remaining grace period. */
  function canFinishBeforeExit (route: RouteRule, deadlineMs: number): boolean {
    if (!isDraining) return true
    return route.kind === RequestKind.Streaming ? timer.now() - drainStartMs < streamAcceptMs : deadlineMs < exitMs
  }

  function accept (req: IncomingMessage, res: ServerResponse, head: RequestHead, reply: Reply): void {
    const startedMs = timer.now()
    if (isDraining) res.shouldKeepAlive = false
    const refuse = createRefusal(context, { req, res, head, reply, bodies })
    const table = directory.routeTable()
    if (table === undefined) return refuse(503, 'not_ready', notReadyRetryMs)
    if (head.requestId === undefined) return refuse(400, 'no_request_id')
    const route = table.findRoute(req.headers.host ?? '', req.url ?? '/')
    if (route === undefined) return refuse(404, 'no_route', undefined, directory.describeRules())
    const refuseCaller = ({ status, reason, retryAfterMs }: CallerReply): void => refuse(status, reason, retryAfterMs, {
      route: route.name, ...directory.describeRules(), ...(head.key !== undefined && { keyLabel: getKeyLabel(head.key) })
    })
    const caller = identify(context, table, route, head)
    if (caller.err) return refuseCaller(getCallerReply(caller.val))
    const waitMs = Math.min(route.timeoutMs, (head.deadlineMs ?? Infinity) - responseTripMs)
    const deadlineMs = startedMs + Math.max(1, waitMs)
    const refuseStopping = (): void => refuse(503, 'stopping', Math.max(0, exitMs - timer.now()) + restartMs)
    if (!canFinishBeforeExit(route, deadlineMs)) return refuseStopping()
    const service = table.getService(chooseTarget(route, context.random()) ?? '')
    if (service === undefined) return refuse(503, 'no_service', notReadyRetryMs)

    const spent = context.allowances.spend(caller.val.organisation, head, deadlineMs - startedMs)
    if (spent.err) return refuse(429, spent.val.reason, spent.val.retryAfterMs, spent.val.details)

    const { stop, onStop, stopReason } = createStopSignal()
    const fail = (err: unknown): void => {
      failUnexpectedly(reply, head.requestId, err)
      stop(StopReason.HandlerFailed)
    }
    let finalTimer = timer.after(deadlineMs - timer.now(), () => {
      stop(StopReason.DeadlineExceeded)
      // The part that serves a request ends it when it stops, unless an error has ended that part first. After a pause of the process, the
      // time for that begins only now.
      finalTimer = timer.after(unansweredMarginMs, () => {
        if (!reply.isFinished()) fail(new Error('no response by the deadline'))
      })
    })
    stops.add(stop)
    res.once('close', () => {
      stops.delete(stop)
      finalTimer.cancel()
      if (!res.writableFinished) stop(StopReason.ClientDisconnected)
      if (!isServed || reply.isRefusal()) spent.val.giveBack()
    })
    const priority = caller.val.organisation?.priority ?? route.priority
    const checkCaller = createCallerCheck(context, { table, route, head, caller: caller.val })
    let isServed = false
    onStop((reason) => { if (!isServed && !reply.isFinished() && reason !== StopReason.ClientDisconnected) refuse(408, 'body_too_slow') })
    const onBody = (body: Buffer): void => {
      if (stopReason() !== undefined) return
      // The process may have begun to stop while the body came.
      if (!canFinishBeforeExit(route, deadlineMs)) return refuseStopping()
      // The rules may have changed while the body came.
      const callerReply = findCallerReply({ identifyCaller: checkCaller })
      if (callerReply !== undefined) return refuseCaller(callerReply)
      const request: ClientRequest = {
        requestId: head.requestId as string,
        method: req.method ?? 'GET',
        path: req.url ?? '/',
        head,
        body,
        route,
        service,
        ...(caller.val.organisation !== undefined && { organisation: caller.val.organisation }),
        priority,
        identifyCaller: checkCaller,
        spent: spent.val,
        usedConnections: new Set(),
        reply,
        startedMs,
        deadlineMs,
        onStop,
        stopReason
      }
      isServed = true
      context.retryBudget(service.name).recordRequest(timer.now())
      serve(request).catch(fail)
    }
    const maxBytes = (): number => (directory.routeTable() ?? table).limits.maxBodyBytes
    readBody(req, res, { bodies, maxBytes, priority, onBody, refuse, onError: fail })
  }

  async function serve (request: ClientRequest): Promise<void> {
    const result = await serveRequest(context, request)
    if (result.status === 503 && !request.reply.isFinished()) request.spent.giveBack()
    recordResult(context, request, result, Math.round(timer.now() - request.startedMs))
  }

  return {
    server,
    inFlight: () => inFlight,
    setLimits (limits) {
      connections.setIdleTimeout(limits.idleTimeoutMs)
      server.headersTimeout = limits.headerTimeoutMs
      server.keepAliveTimeout = limits.idleTimeoutMs
      connections.setMaxHeaderBytes(limits.maxHeaderBytes)
    },
    drain (graceMs) {
      isDraining = true
      drainStartMs = timer.now()
      exitMs = drainStartMs + graceMs
    },
    stopRequests () { for (const stop of [...stops]) stop(StopReason.ProcessStops) },
    close () {
      server.close()
      // Node's `resetAndDestroy` ends the connection before it resets it, so the flag that it sets is set here.
      for (const { socket } of openResponses) if (socket !== null) Object.assign(socket, { resetAndClosing: true })
      server.closeAllConnections()
    }
  }
}
