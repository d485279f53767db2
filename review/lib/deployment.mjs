/**
 * A small deployment on loopback addresses: a stand-in for the platform's store, stand-ins for workers, and the project's own programs,
 * started as separate processes with the commands of the deploy file.
 */
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer as createHttpServer, request as httpRequest } from 'node:http'
import { createServer as createTcpServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

export const bounds = {
  seed_lag_s: 3,
  reuse_after_s: 2,
  stable_window_ms: 4000,
  ack_ms: 5000,
  catch_up_s: 4,
  drain_ms: 2500,
  grace_s: 8,
  loss_slack_ms: 200,
  config_apply_ms: 2500,
  rollback_slack_ms: 250,
  max_stretch_ms: 6000,
  budget_ratio: 0.2,
  budget_window_s: 10,
  budget_slack: 54,
  recover_s: 12,
  transit_ms: 300,
  again_s: 3,
  enforce_fencing: true,
  lease_ms: 3000,
  thaw_ms: 300
}

/** Region of each zone. */
const zones = { levis: 'qc-est', gatineau: 'qc-ouest' }

export function sleep (ms) { return new Promise((resolve) => setTimeout(resolve, ms)) }

export async function until (fn, withinMs) {
  const endMs = performance.now() + withinMs
  while (performance.now() < endMs) {
    if (await fn()) return true
    await sleep(25)
  }
  return false
}

export function findFreePort (host) {
  return new Promise((resolve, reject) => {
    const server = createTcpServer().once('error', reject).listen(0, host, () => {
      const { port } = server.address()
      server.close(() => resolve(port))
    })
  })
}

/** Time in milliseconds that the store takes for an answer, as on the site's sheet. */
const answerMs = 4

/** Starts the stand-in for the store: items by key, pages, watches and the revision counter of the protocol page. */
export async function startStore () {
  const items = new Map()
  const history = []
  const waiting = new Set()
  let revision = 10
  function sendJson (res, status, body) {
    const text = JSON.stringify(body)
    res.writeHead(status, { 'Store-Era': '1', 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) })
    res.end(text)
  }
  const encode = (item) => item.deleted ? item : { ...item, value: Buffer.from(item.value).toString('base64'), created_rev: item.revision, lease: 0 }
  const eventsAfter = (prefix, after) => history.filter((item) => item.revision > after && item.key.startsWith(prefix)).map(encode)
  function wake () {
    for (const watch of [...waiting]) {
      const events = eventsAfter(watch.prefix, watch.after)
      if (events.length === 0) continue
      waiting.delete(watch)
      sendJson(watch.res, 200, { events, store_revision: revision })
    }
  }
  const server = createHttpServer((req, res) => { setTimeout(() => answer(req, res), answerMs) })
  function answer (req, res) {
    const { pathname, searchParams: query } = new URL(req.url, 'http://store')
    const prefix = query.get('prefix') ?? ''
    if (pathname === '/v1/kv-range') {
      const after = query.get('after') ?? ''
      const found = [...items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((a, b) => a.key < b.key ? -1 : 1)
      return sendJson(res, 200, { items: found.map(encode), has_more: false, store_revision: revision })
    }
    if (pathname !== '/v1/kv-watch') return sendJson(res, 404, {})
    const after = Number(query.get('after'))
    const events = eventsAfter(prefix, after)
    if (events.length > 0) return sendJson(res, 200, { events, store_revision: revision })
    const watch = { prefix, after, res }
    waiting.add(watch)
    const timer = setTimeout(() => { if (waiting.delete(watch)) sendJson(res, 200, { events: [], store_revision: revision }) }, Number(query.get('wait_ms')))
    res.on('close', () => {
      waiting.delete(watch)
      clearTimeout(timer)
    })
  }
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${server.address().port}`,
    put (key, value) {
      const item = { key, value, revision: ++revision }
      items.set(key, item)
      history.push(item)
      wake()
    },
    remove (key) {
      items.delete(key)
      history.push({ key, revision: ++revision, deleted: true })
      wake()
    },
    close () {
      server.closeAllConnections()
      server.close()
    }
  }
}

const engine = { slots: 64, kv_tokens: 100_000, kv_bytes: 163_840, link_mbps: 11_000_000, stride: 69, handle_ttl_s: 0.5, stage_switch_s: 6, hold_ms: 2000, models: [] }
const route = { host: 'a.example', timeout_ms: 14_000, target_latency_ms: 900, priority: 1, max_attempts: 1 }

/** Returns the operator's configuration: plain routes to the service `plain` and streams to the service `llm`. */
export function buildConfiguration (version, { limits = {}, routes = {} } = {}) {
  const stream = { ...route, kind: 'streaming', gap_aim_ms: 300, service: 'llm', session_affinity: true }
  return JSON.stringify({
    version,
    routes: [
      { ...route, name: 'read', prefix: '/read/', kind: 'idempotent', max_attempts: 2, service: 'plain', ...routes.read },
      { ...route, name: 'sign', prefix: '/sign/', kind: 'non_idempotent', service: 'plain', ...routes.sign },
      { ...stream, name: 'scan', prefix: '/scan/', ...routes.scan },
      { ...stream, name: 'refus', prefix: '/refus/', max_attempts: 2, allow_resume: true, ...routes.refus }
    ],
    services: [
      { name: 'plain', health_path: '/health', max_connections: 100 },
      { name: 'llm', health_path: '/health', max_connections: 360, engine }
    ],
    limits: { max_header_bytes: 8192, max_body_bytes: 4_194_304, header_timeout_ms: 2000, idle_timeout_ms: 10_000, ...limits }
  })
}

/** Returns a worker's entry as it writes it to the store. */
export function buildEntry ({ service, address, zone = 'levis', stage, born, ...rest }) {
  return JSON.stringify({
    service, address, zone, version: 'v1', slots: 64, state: 'ready', cold_remaining_ms: 0, sequence: 1, born, ...(stage === undefined ? {} : { stage, models: [] }), ...rest
  })
}

/**
 * Starts the stand-in for a worker. Requests go to `serve(req, res, body)`; calls about memory, reports and orders are answered as a
 * sound worker answers them, unless `control(call, req, res, body)` returns true.
 */
export async function startWorker ({ id, service, stage, host = '127.0.0.1', port = 0, zone, serve, control = () => false }) {
  const born = Date.now()
  const running = new Set()
  let stageNow = stage
  let orders = 0
  let holds = 0
  let handles = 0
  const sendJson = (res, status, body, headers = {}) => {
    const text = JSON.stringify(body)
    res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text), ...headers })
    res.end(text)
  }
  const answers = {
    'GET /v1/report': () => [200, {
      stage: stageNow,
      models: [{ name: 'm', version: 1, adapters: [] }],
      busy: false,
      sequence: orders,
      waiting: 0,
      running: running.size,
      kv_used: 0,
      kv_total: 100_000,
      handles: 0,
      held: 0,
      pinned: 0,
      state: 'ready',
      runs: [...running].map((run) => [run, 5000, 1, 5]),
      born
    }],
    'POST /v1/hold-take': () => [200, { hold: `${id}-hold-${++holds}`, born }],
    'POST /v1/order': (body) => {
      const order = JSON.parse(String(body))
      if (order.stage === stageNow) return [200, { born }]
      orders++
      stageNow = order.stage
      return [202, { born }]
    }
  }
  const server = createHttpServer((req, res) => {
    const chunks = []
    req.on('data', (chunk) => chunks.push(chunk))
    req.on('end', () => {
      const body = Buffer.concat(chunks)
      const call = `${req.method} ${req.url}`
      if (req.url.startsWith('/v1/')) {
        if (control(call, req, res, body)) return
        const [status, answer] = answers[call]?.(body) ?? [200, { born }]
        return sendJson(res, status, answer)
      }
      if (req.headers['x-expect-instance'] !== undefined && req.headers['x-expect-instance'] !== id) return sendJson(res, 421, {})
      const requestId = String(req.headers['x-request-id'])
      if (req.headers['x-stage'] === 'prefill') {
        return sendJson(res, 200, { kv_cache_handle: `${id}-kv-${++handles}`, tokens: 5000, version: 1, born }, { 'X-Request-Id': requestId })
      }
      running.add(requestId)
      res.on('close', () => running.delete(requestId))
      serve(req, res, body)
    })
  })
  server.keepAliveTimeout = 60_000
  await new Promise((resolve, reject) => server.once('error', reject).listen(port, host, resolve))
  const address = `${host}:${server.address().port}`
  return {
    id,
    address,
    entry: (fields) => buildEntry({ service, address, zone, stage, born, ...fields }),
    close () {
      server.closeAllConnections()
      server.close()
    }
  }
}

/** Creates the deployment: it starts processes, and ends all that it started. */
export async function createDeployment () {
  const folder = mkdtempSync(join(tmpdir(), 'review-'))
  const children = new Set()
  const store = await startStore()
  const internalPort = await findFreePort('127.0.0.1')

  function start (kind, name, { zone = 'levis', ip, listen, app, seeds = [], memoryMb, heapMb }) {
    const file = join(folder, `${name}.json`)
    writeFileSync(file, JSON.stringify({
      node_name: name,
      role: kind,
      machine_class: kind === 'gateway' ? 'edge' : 'side',
      serves: [],
      ip,
      zone,
      region: zones[zone],
      zones,
      listen,
      internal_port_range: [internalPort, internalPort + 15],
      seeds,
      bootstrap: true,
      in_tolerance: false,
      limits: { cpu_share: 0.5, cores: 1, memory_mb: memoryMb, max_fds: 4100, link_mbps: 1000, disk_mb: 0 },
      data_dir: null,
      discovery: 'platform',
      entry: 'vip',
      heartbeat_ms: 1200,
      contracts: [],
      fault_tolerance: { machines: 2, zones: 0, regions: 0 },
      bounds,
      platform: { address: store.address, form: 'read', reads_per_s: 2000, history_s: 20, value_bytes: 1_048_576 },
      ...(app === undefined ? {} : { app })
    }))
    const child = spawn(process.execPath, [`--max-old-space-size=${heapMb}`, 'target/briarloom.js', kind, 'target/policy.json'], {
      env: { PATH: process.env.PATH, HOME: process.env.HOME, BRIARLOOM_NODE_FILE: file }, stdio: ['ignore', 'pipe', 'pipe']
    })
    children.add(child)
    const running = { name, child, pid: child.pid, output: '', ended: undefined }
    for (const stream of [child.stdout, child.stderr]) stream.on('data', (chunk) => { running.output += String(chunk) })
    running.exit = new Promise((resolve) => child.once('exit', (code, signal) => {
      children.delete(child)
      running.ended = { code, signal }
      resolve(running.ended)
    }))
    return running
  }

  return {
    store,
    internalPort,
    /** Starts a gateway; its machine has the memory of the class `edge`. */
    async startGateway (name, ip, { ports: known, zone, seeds } = {}) {
      const ports = known ?? { front: await findFreePort(ip), ready: await findFreePort(ip), control: await findFreePort(ip) }
      const listen = Object.fromEntries(Object.entries(ports).map(([key, port]) => [key, `${ip}:${port}`]))
      const running = start('gateway', name, { ip, zone, seeds, listen, memoryMb: 200, heapMb: 90 })
      return Object.assign(running, { ip, ports, ready: () => checkReady(ip, ports.ready) })
    },
    /** Starts the sidecar beside a worker; its machine has the memory of the class `side`. */
    startSidecar: (name, ip, app, { zone, seeds } = {}) => Object.assign(start('sidecar', name, { ip, zone, listen: {}, app, seeds, memoryMb: 282, heapMb: 70 }), { ip }),
    async close () {
      for (const child of children) child.kill('SIGKILL')
      await until(() => children.size === 0, 3000)
      store.close()
      rmSync(folder, { recursive: true, force: true })
    }
  }
}

function checkReady (host, port) {
  return new Promise((resolve) => {
    const req = httpRequest({ host, port, path: '/v1/ready', agent: false, timeout: 500 }, (res) => {
      res.resume()
      resolve(res.statusCode === 200)
    })
    req.on('timeout', () => req.destroy())
    req.on('error', () => resolve(false))
    req.end()
  })
}

/** Returns the memory of a process in MB, as the platform counts it: what is resident, and what its sockets hold is left out. */
export function readMemoryMb (pid) {
  try {
    const match = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))
    return match === null ? 0 : Number(match[1]) / 1024
  } catch {
    return 0
  }
}

/** Sends one request as a client and resolves when its connection is done with it. */
export function sendRequest ({ host, port, method = 'POST', path, id, deadlineMs = 14_000, headers = {}, body = '', gapMs, maxBytes = 1e6 }) {
  return new Promise((resolve) => {
    const answer = { id, status: 0, headers: {}, body: '', isComplete: false, error: undefined, tookMs: 0 }
    const startedMs = performance.now()
    let gapTimer
    /** A client leaves after a gap without any byte of the body. */
    const restartGap = () => {
      clearTimeout(gapTimer)
      if (gapMs !== undefined) gapTimer = setTimeout(() => req.destroy(new Error('client left')), gapMs)
    }
    const finish = () => {
      clearTimeout(gapTimer)
      answer.tookMs = Math.round(performance.now() - startedMs)
      resolve(answer)
    }
    const req = httpRequest({
      host, port, method, path, agent: false, headers: { Host: 'a.example', 'X-Request-Id': id, 'X-Request-Deadline-Ms': String(deadlineMs), ...headers }
    }, (res) => {
      answer.status = res.statusCode
      answer.headers = res.headers
      res.on('data', (chunk) => {
        restartGap()
        if (answer.body.length < maxBytes) answer.body += String(chunk)
      })
      res.on('end', () => {
        answer.isComplete = res.complete
        finish()
      })
      res.on('error', (err) => {
        answer.error = err.code ?? err.message
        finish()
      })
    })
    req.on('error', (err) => {
      answer.error = err.code ?? err.message
      finish()
    })
    setTimeout(() => req.destroy(new Error('deadline')), deadlineMs + 2000).unref()
    restartGap()
    req.end(body)
  })
}

export const generationHeaders = (prefix) => ({ 'X-Model': 'm', 'X-Token-Counts': '5000,70', 'X-Prompt-Prefix': `5c1e07a2:200,${prefix}:4800` })
