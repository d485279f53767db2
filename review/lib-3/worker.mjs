/**
 * Stand-ins for workers, plain ones and engines, that register in the store and crash on demand. A crash closes all sockets, as the
 * operating system does for a process that has been killed.
 */
import { createServer } from 'node:http'

const heartbeatMs = 1200
const leaseHeartbeats = 3
/** Prompt tokens that an engine reads in a millisecond; a decode engine reads half as fast. */
const readTokensPerMs = 55.5556
const handleTtlMs = 500

/** Handles of prompts that have been read, by address and name, with the request that they belong to. */
const handles = new Map()

/**
 * Starts a worker. `answer(req, res, body, worker)` runs a request; `log` receives one object for each request that arrives or runs.
 */
export async function startWorker (options) {
  const { store, service, host, port, zone = 'levis', slots = 64, memoryTokens = 79_304, answer, log } = options
  const switchMs = options.switchMs ?? 6_000
  let id
  const version = options.version ?? 'v1'
  let born
  const firstStage = options.stage
  let stage = firstStage
  let sequence = 0
  let orders = 0
  let busyUntilMs = 0
  let holds = 0
  let readMs = 0
  let isUp = false
  let generation = 0
  let beat
  let server
  const sockets = new Set()
  const runs = new Map()
  const headers = options.headers ?? (() => ({}))

  function entry () {
    return {
      service,
      address: `${host}:${port}`,
      zone,
      version,
      slots,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: ++sequence,
      born,
      ...(stage === undefined ? {} : { stage, models: [{ name: 'm', version: 1, adapters: [] }] })
    }
  }

  function register () { store.put(`servers/${id}`, entry(), leaseHeartbeats * heartbeatMs) }

  function sendJson (res, status, body, extra = {}) {
    const text = JSON.stringify(body)
    res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text), ...headers(), ...extra })
    res.end(text)
  }

  function refuse (req, res, status, extra = {}) {
    const requestId = req.headers['x-request-id']
    res.writeHead(status, { 'X-Not-Executed': '1', 'Content-Length': 0, ...(requestId === undefined ? {} : { 'X-Request-Id': requestId }), ...headers(), ...extra })
    res.end()
  }

  const calls = {
    'GET /health': (req, res) => sendJson(res, 200, {}, { 'X-Instance-Id': id }),
    'GET /v1/report': (req, res) => sendJson(res, 200, {
      stage,
      born,
      models: [{ name: 'm', version: 1, adapters: [] }],
      busy: busyUntilMs > performance.now(),
      sequence: orders,
      waiting: 0,
      running: runs.size,
      kv_used: 0,
      kv_total: memoryTokens,
      held: 0,
      pinned: 0,
      handles: 0,
      runs: [...runs].map(([run, events]) => [run, 5200, events, 5])
    }),
    'POST /v1/order': (req, res, body) => {
      const order = JSON.parse(body)
      if (busyUntilMs > performance.now() || (order.expect !== undefined && order.expect !== orders)) return sendJson(res, 409, {})
      if (order.stage === stage) return sendJson(res, 200, {})
      orders++
      log?.({ what: 'order', worker: id, holder: order.holder, fence: order.fence, stage: order.stage })
      busyUntilMs = performance.now() + switchMs
      const own = generation
      setTimeout(() => {
        if (own !== generation || !isUp) return
        stage = order.stage
        register()
      }, switchMs)
      sendJson(res, 202, {})
    },
    'POST /v1/hold-take': (req, res) => sendJson(res, 200, { hold: `h-${born}-${++holds}`, born })
  }

  function readPrompt (req, res) {
    const [tokens] = String(req.headers['x-token-counts'] ?? '0').split(',').map(Number)
    const startMs = Math.max(performance.now(), readMs)
    readMs = startMs + tokens / readTokensPerMs
    const own = generation
    setTimeout(() => {
      if (own !== generation || res.destroyed) return
      const name = `${born.toString(36)}${Math.random().toString(36).slice(2, 10)}`
      handles.set(`${host}:${port}/${name}`, performance.now() + handleTtlMs)
      sendJson(res, 200, { kv_cache_handle: name, tokens, version: 1 }, { 'X-Request-Id': req.headers['x-request-id'] })
    }, readMs - performance.now())
  }

  /** Returns the time in milliseconds until an engine begins to write, or undefined when the handle that the request names is gone. */
  function getStartMs (req) {
    const [tokens] = String(req.headers['x-token-counts'] ?? '0').split(',').map(Number)
    const source = req.headers['x-kv-source']
    if (source === undefined) return 2 * tokens / readTokensPerMs
    const untilMs = handles.get(source)
    handles.delete(source)
    return untilMs === undefined || untilMs < performance.now() ? undefined : 5
  }

  function serve (req, res, body) {
    const call = calls[`${req.method} ${req.url}`]
    if (call !== undefined) return call(req, res, body)
    if (req.url.startsWith('/v1/')) return sendJson(res, 200, {})
    const expected = req.headers['x-expect-instance']
    const arrived = { worker: id, request: req.headers['x-request-id'], stage: req.headers['x-stage'] ?? 'run', path: req.url }
    if (expected !== undefined && expected !== id) return refuse(req, res, 421, { 'X-Instance-Id': id })
    log?.({ what: 'arrived', ...arrived })
    if (req.headers['x-request-id'] === undefined) return refuse(req, res, 400)
    if (stage !== undefined && busyUntilMs > performance.now()) return refuse(req, res, 503)
    if (req.headers['x-stage'] === 'prefill') return stage === 'prefill' ? readPrompt(req, res) : refuse(req, res, 421)
    if (stage === 'prefill') return refuse(req, res, 421)
    const startMs = stage === undefined ? 0 : getStartMs(req)
    if (startMs === undefined) return refuse(req, res, 503)
    const own = generation
    const run = () => {
      if (own !== generation || res.destroyed) return
      runs.set(req.headers['x-request-id'], 0)
      res.on('close', () => runs.delete(req.headers['x-request-id']))
      log?.({ what: 'run', ...arrived })
      answer(req, res, body, worker)
    }
    if (startMs === 0) run()
    else setTimeout(run, startMs)
  }

  async function start () {
    generation++
    id = `i-${Math.random().toString(16).slice(2, 10)}`
    born = Date.now()
    orders = 0
    busyUntilMs = 0
    stage = firstStage
    readMs = 0
    runs.clear()
    server = createServer({ keepAliveTimeout: 5_000 }, (req, res) => {
      const chunks = []
      req.on('data', (chunk) => chunks.push(chunk))
      req.on('end', () => serve(req, res, Buffer.concat(chunks)))
    })
    server.on('connection', (socket) => {
      sockets.add(socket)
      socket.on('error', () => {})
      socket.on('close', () => sockets.delete(socket))
    })
    await new Promise((resolve, reject) => server.once('error', reject).listen(port, host, resolve))
    isUp = true
    register()
    beat = setInterval(register, heartbeatMs)
  }

  function stop () {
    isUp = false
    generation++
    clearInterval(beat)
    server.close()
  }

  const worker = {
    address: `${host}:${port}`,
    id: () => id,
    isUp: () => isUp,
    stage: () => stage,
    headersFor: (req, extra = {}) => ({ 'X-Request-Id': req.headers['x-request-id'], 'X-Server-Seal': `3e1b.${id}`, ...headers(), ...extra }),
    noteEvent (req) { runs.set(req.headers['x-request-id'], (runs.get(req.headers['x-request-id']) ?? 0) + 1) },
    /** Ends as a killed process does: what was written still leaves, and all sockets close. It starts again after `downMs`. */
    crash (downMs) {
      if (!isUp) return
      log?.({ what: 'crash', worker: id })
      stop()
      for (const socket of sockets) socket.destroySoon()
      if (downMs !== undefined) setTimeout(() => { start().catch(() => {}) }, downMs)
    },
    close () {
      if (isUp) stop()
      for (const socket of sockets) socket.destroy()
    }
  }
  await start()
  return worker
}
