/**
 * Starts an entry: connects its parts with each other, with its peers and with the HTTP server.
 */
import { randomBytes } from 'node:crypto'
import { createLimiter } from '../core/limits/mod.ts'
import { AdmissionPolicy, ChoicePolicy, PlacementPolicy, RecordKind, ReservePolicy } from '../core/records/mod.ts'
import { createRetryBudget } from '../core/retry/mod.ts'
import { Err, Ok } from '../core/results/mod.ts'
import { createRouter } from '../core/routing/mod.ts'
import { Role } from '../core/types/mod.ts'
import { createDaemonBase } from '../daemon/mod.ts'
import { createDecisionRing, DecisionKind } from '../log/mod.ts'
import { Metric } from '../metrics/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import { divideEntry } from './_divide_entry.ts'
import { createAgentConnections } from './_agent_connections.ts'
import { createAuth } from './_auth.ts'
import { createPeerEntries } from './_peer_entries.ts'
import { createCompletionRoutes } from './_completions.ts'
import { startHttpServer } from './_http_server.ts'
import { createModelRequests } from './_model_requests.ts'
import { createPrefixHasher } from './_prefix_hashes.ts'
import { createRequestPorts } from './_request_ports.ts'
import { createRpc } from './_rpc.ts'
import { createServiceRoutes } from './_services.ts'
import { createEntryStats } from './_stats.ts'
import { createTicketRoutes } from './_tickets.ts'
import type { MemberChange } from '../core/membership/mod.ts'
import type { PolicyRecord } from '../core/records/mod.ts'
import type { RequestSpec } from '../core/request/mod.ts'
import type { Result } from '../core/results/mod.ts'
import type { Daemon } from '../daemon/mod.ts'
import type { Decision } from '../log/mod.ts'
import type { Peer } from '../peer/mod.ts'
import type { EntrySettings } from '../settings/mod.ts'
import type { Message, MessageOf } from '../wire/mod.ts'
import type { Identity } from './_auth.ts'
import type { HttpCall, HttpRoute } from './_http_server.ts'
import type { ResponseSink } from './_model_requests.ts'
import type { ServicesOptions } from './_services.ts'

/** Number of recent decisions that are kept to explain requests. */
const decisionRingSize = 20_000
/** Largest number of unsent bytes of one response; a caller that reads too slowly and exceeds it is disconnected. */
const maxUnsentBytes = 1_048_576
const drainPollMs = 50
/** Retries per second that the retry budget allows even without traffic. */
const minRetriesPerS = 0.5
const requestIdBytes = 9

/** Policy in force while the configuration has no policy record named `default`. */
const defaultPolicy: Omit<PolicyRecord, 'kind' | 'name'> = {
  reserve: ReservePolicy.ReserveFirst,
  choice: ChoicePolicy.PowerOfTwo,
  admission: AdmissionPolicy.Tiered,
  placement: PlacementPolicy.Records,
  paidHeadroom: 0.1,
  retryBudget: 0.1,
  affinitySeats: 2
}

type Handlers = { [K in MessageKind]?: (peer: Peer, msg: MessageOf<K>) => void }

/**
 * Starts an entry.
 *
 * @param settings the checked settings
 * @returns the running entry, or why it could not start
 *
 * @example
 * ```ts
 * import { startEntry } from 'briarloom/entry'
 *
 * console.assert(typeof startEntry === 'function')
 * ```
 */
export async function startEntry (settings: EntrySettings): Promise<Result<Daemon, string>> {
  const { timings, name } = settings
  const place = { availabilityZone: settings.availabilityZone, region: settings.region }
  const ring = createDecisionRing({ size: decisionRingSize })
  // Awaited before peers can connect: from then on, their messages need all that is created below.
  const hashPrefixes = await createPrefixHasher()
  let draining = false

  const base = createDaemonBase({
    settings,
    handlers: {
      onUp: (peer) => { if (peer.process === 'agent') agents.onConnected(peer) },
      onDown: (peer) => { if (peer.process === 'agent') agents.onDisconnected(peer) },
      onMessage
    },
    status,
    explain: (requestId) => ring.find(requestId).map((decision) => ({ ...decision })),
    onMemberChanges
  })
  const { timer, config, peers, metrics } = base

  const currentPolicy = (): Omit<PolicyRecord, 'kind' | 'name'> => config.get(RecordKind.Policy, 'default') ?? defaultPolicy
  const router = createRouter({ policy: currentPolicy(), place, random: Math.random })
  const retryBudget = createRetryBudget({ ratio: currentPolicy().retryBudget, minPerS: minRetriesPerS })
  const stats = createEntryStats(metrics, retryBudget.recordSuccess)
  const limiter = createLimiter({
    entry: name,
    incarnation: base.incarnation,
    getLimits: (caller) => config.get(RecordKind.Caller, caller)
  })
  const rpc = createRpc(timer, peers.send)
  const requests = createModelRequests({
    timer,
    metrics,
    router,
    send: peers.send,
    isConnected: (agent) => peers.get(agent) !== undefined,
    onDecision: recordDecision
  })
  const agents = createAgentConnections({
    base,
    settings,
    router,
    listLiveAttempts: requests.listLiveAttempts,
    countFinished: stats.countFinished,
    onAgentLost: (agent) => {
      requests.onAgentLost(agent)
      if (peers.get(agent) === undefined) rpc.onAgentLost(agent)
    },
    onAgentReachable: requests.onAgentReachable
  })
  const peerEntries = createPeerEntries(base, name, limiter)
  const requestPorts = createRequestPorts({
    timer, router, retryBudget, hashPrefixes, regionOf: (agent) => agents.getRecord(agent)?.region
  })

  function onMemberChanges (changes: MemberChange[]): void {
    agents.onMemberChanges(changes)
    peerEntries.onMemberChanges(changes)
  }

  function applyPolicy (): void {
    router.setPolicy(currentPolicy())
    retryBudget.setRatio(currentPolicy().retryBudget)
  }

  function recordDecision (decision: Omit<Decision, 'revision'>): void {
    const fullDecision = { ...decision, revision: config.revision() }
    ring.add(fullDecision)
    base.log.decision(fullDecision)
  }

  const handlers: Handlers = {
    [MessageKind.Load]: (peer, msg) => agents.onLoad(peer, msg),
    [MessageKind.Reserved]: (peer, msg) => requests.onReply(peer.name, msg),
    [MessageKind.Prefilled]: (peer, msg) => requests.onReply(peer.name, msg),
    [MessageKind.Tokens]: (peer, msg) => requests.onReply(peer.name, msg),
    [MessageKind.Finished]: (peer, msg) => requests.onReply(peer.name, msg),
    [MessageKind.Failed]: (peer, msg) => requests.onReply(peer.name, msg),
    [MessageKind.Cancelled]: (peer, msg) => requests.onReply(peer.name, msg),
    [MessageKind.Refused]: (peer, msg) => {
      if (!rpc.onReply(peer.name, msg)) requests.onReply(peer.name, msg)
    },
    [MessageKind.CallDone]: (peer, msg) => { rpc.onReply(peer.name, msg) },
    [MessageKind.TicketIssued]: (peer, msg) => { rpc.onReply(peer.name, msg) },
    [MessageKind.TicketVoided]: (peer, msg) => { rpc.onReply(peer.name, msg) },
    [MessageKind.UsageShare]: (_peer, msg) => limiter.onUsageShare(msg, timer.now())
  }

  function onMessage (peer: Peer, msg: Message): void {
    const handler = handlers[msg.kind] as ((peer: Peer, msg: Message) => void) | undefined
    handler?.(peer, msg)
  }

  function run (spec: RequestSpec, identity: Identity, sink: ResponseSink): void {
    const options = { policy: currentPolicy().reserve, firstTokenMs: identity.tier.firstTokenMs }
    requests.start(spec, requestPorts(spec), options, identity.tier.name, sink)
  }

  function chooseServiceBackend (requestId: string, attempt: number, identity: Identity, service: string, exclude: string[]) {
    const wanted = { role: Role.Service, model: service, version: '*', promptTokens: 0, prefixes: [], exclude }
    const chosen = router.choose(wanted, timer.now())
    if (chosen.err) return chosen
    recordDecision({
      kind: attempt === 1 ? DecisionKind.Routing : DecisionKind.Retry,
      request: requestId,
      attempt,
      caller: identity.caller.name,
      tier: identity.tier.name,
      chosen: chosen.val.backend,
      runnersUp: chosen.val.runnersUp,
      reason: `service: attempt ${attempt}`
    })
    return Ok(chosen.val.backend)
  }

  function isReady (): boolean {
    return !draining && base.isConfigured() && config.list(RecordKind.Caller).length > 0
  }

  function isFull (): boolean {
    return requests.count() + rpc.count() >= settings.limits.maxRequests
  }

  function sendHealth (call: HttpCall, ok: boolean): void {
    call.res.writeHead(ok ? 200 : 503, { 'content-type': 'application/json' })
    call.res.end(JSON.stringify({ ok, revision: config.revision() }))
  }

  function status (): Record<string, unknown> {
    return {
      draining,
      requests: requests.count(),
      calls: rpc.count(),
      callers: stats.status(),
      backends: router.views().map(({ info, health, ownRequests: requests }) => ({ name: info.name, health, requests }))
    }
  }

  const auth = createAuth(config)
  const { maxBodyBytes, maxHeaderBytes } = settings.limits
  const serviceOptions: ServicesOptions = {
    config,
    auth,
    rpc,
    maxBodyBytes,
    isFull,
    chooseBackend: chooseServiceBackend,
    ensureConnected: agents.ensureConnected,
    consumeRetry: () => retryBudget.take(timer.now()),
    stats
  }
  const routes: HttpRoute[] = [
    ...createCompletionRoutes({
      timer, config, auth, limiter, stats, maxBodyBytes, maxUnsentBytes, isFull, run, cancel: requests.cancel
    }),
    ...createServiceRoutes(serviceOptions),
    ...createTicketRoutes(serviceOptions),
    { method: 'GET', path: '/healthz', handle: (call) => sendHealth(call, true) },
    { method: 'GET', path: '/readyz', handle: (call) => sendHealth(call, isReady()) }
  ]

  config.onChange((event) => {
    if (event.key.startsWith(`${RecordKind.Backend}/`)) agents.refresh()
    if (event.key.startsWith(`${RecordKind.Policy}/`)) applyPolicy()
  })
  timer.onPause(timings.leaseMs, requests.revalidate)
  timer.every(timings.heartbeatMs, () => {
    stats.flush()
    metrics.gauge(Metric.RequestsInFlight, requests.count() + rpc.count())
  })

  const listening = await peers.listen(settings.peer.host, settings.peer.port)
  if (listening.err) {
    await base.close()
    return listening
  }
  const http = await startHttpServer({
    host: settings.http.host,
    port: settings.http.port,
    routes,
    maxHeaderBytes,
    ...divideEntry(settings.limits.maxRequests),
    nextRequestId: () => `${name}-${randomBytes(requestIdBytes).toString('base64url')}`,
    timer,
    log: base.log,
    onHandlerError: (requestId, err) => base.log.error({ requestId, err }, 'handler failed')
  })
  if (http.err) {
    await base.close()
    return Err(http.val)
  }
  const server = http.val

  function waitUntilIdle (): Promise<void> {
    return new Promise((resolve) => {
      const poll = timer.every(drainPollMs, () => {
        if (requests.count() > 0 || rpc.count() > 0) return
        poll.cancel()
        resolve()
      })
    })
  }

  return Ok({
    address: listening.val,
    httpAddress: server.address,
    async stop () {
      draining = true
      const closed = server.close()
      await waitUntilIdle()
      await closed
      stats.flush()
      await base.close()
    },
    async kill () {
      server.closeNow()
      stats.flush()
      await base.close()
    }
  })
}
