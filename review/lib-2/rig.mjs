/**
 * Starts the project's programs as the deploy file says, on loopback addresses, and sends requests as clients do.
 */
import { spawn } from 'node:child_process'
import { randomBytes, randomInt } from 'node:crypto'
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request as httpRequest } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { createRecord } from './record.mjs'

const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..')

/** The bounds of the small deployments on the sheets. */
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

/** Returns the `run` line of a role of the deploy file, as words. */
function readCommand (role) {
  const text = readFileSync(join(root, 'deploy', 'system.toml'), 'utf8')
  const section = text.slice(text.indexOf(`[roles.${role}]`))
  return /^run = "(.*)"$/m.exec(section)[1].split(' ')
}

/** Ends the case: the result is 0 when the rule held, 1 when it was broken, and 2 when the case could not run. */
export async function runCase (folder, fn) {
  const record = createRecord(folder)
  const isTroubled = process.env.TROUBLE !== '0'
  const rig = createRig(record)
  let code = 2
  const timeout = setTimeout(() => finish(2), 115_000)
  for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => finish(2))
  process.once('uncaughtException', (err) => {
    record.add(`error: ${err.stack}`)
    finish(2)
  })
  async function finish (result) {
    clearTimeout(timeout)
    await rig.close()
    record.add(['the rule held', 'the rule was broken', 'the case could not run'][result])
    record.write()
    console.log(['the rule held', 'the rule was broken', 'the case could not run'][result])
    process.exit(result)
  }
  try {
    record.add(isTroubled ? 'with the disruption' : 'without the disruption')
    code = await fn({ rig, record, isTroubled }) ? 1 : 0
  } catch (err) {
    record.add(`error: ${err.stack}`)
    console.error(err)
  }
  finish(code)
}

export function sleep (ms) { return new Promise((resolve) => { setTimeout(resolve, ms) }) }

/** Waits until a condition holds; throws after the time. */
export async function until (what, condition, maxMs = 15_000) {
  const endMs = performance.now() + maxMs
  while (!await condition()) {
    if (performance.now() > endMs) throw new Error(`not within ${maxMs} ms: ${what}`)
    await sleep(25)
  }
}

function createRig (record) {
  const net = `127.${randomInt(16, 250)}.${randomInt(1, 250)}`
  const folder = mkdtempSync(join(tmpdir(), 'review-'))
  const children = new Map()
  const closers = []
  let hosts = 10
  let internalPort = 0
  let isClosed = false

  async function findFreePort (ip) {
    const server = createServer()
    await new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(0, ip, resolve)
    })
    const { port } = server.address()
    await new Promise((resolve) => { server.close(resolve) })
    return port
  }

  /** Starts a process of a role; the settings that are not given are those of a small deployment. */
  async function startProcess (role, { name, ip, zone, zones, seeds = [], storeAddress, app, listen = {}, env = {}, extra = {} }) {
    internalPort ||= 20_000 + randomInt(0, 8_000)
    const settings = {
      node_name: name,
      role,
      machine_class: role === 'gateway' ? 'edge' : 'side',
      serves: role === 'gateway' ? ['edge', 'control'] : ['side'],
      ip,
      zone,
      region: zones[zone],
      zones,
      listen,
      internal_port_range: [internalPort, internalPort + 15],
      seeds,
      bootstrap: true,
      in_tolerance: false,
      limits: { cpu_share: 0.54, cores: 1, memory_mb: 282, max_fds: 4096, link_mbps: 2000, disk_mb: 0 },
      data_dir: null,
      discovery: 'platform',
      entry: 'vip',
      heartbeat_ms: 1200,
      contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'split', 'stream', 'engine', 'platform'],
      fault_tolerance: { machines: 2, zones: 0, regions: 0 },
      bounds,
      platform: { address: storeAddress, form: 'read', writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1_048_576, ttl_min_ms: 1000 },
      ...(app === undefined ? {} : { app }),
      ...extra
    }
    const file = join(folder, `${name}.json`)
    writeFileSync(file, JSON.stringify(settings))
    const [program, ...args] = readCommand(role)
    const run = () => {
      const child = spawn(program, args, { cwd: root, env: { PATH: process.env.PATH, HOME: process.env.HOME, BRIARLOOM_NODE_FILE: file, ...env }, stdio: ['ignore', 'pipe', 'pipe'] })
      children.set(name, child)
      const logs = []
      child.stdout.on('data', (data) => logs.push(data))
      child.stderr.on('data', (data) => logs.push(data))
      child.on('close', (code, signal) => {
        if (!isClosed) record.add(`process ${name}: ends by ${signal ?? `code ${code}`}`)
        if (process.env.KEEP_LOGS) writeFileSync(join(process.env.KEEP_LOGS, `${name}.log`), Buffer.concat(logs))
      })
      record.add(`process ${name}: starts`)
    }
    run()
    return {
      name,
      settings,
      signal (signal) {
        record.add(`process ${name}: gets ${signal}`)
        children.get(name).kill(signal)
      },
      startAgain: run
    }
  }

  /** Starts a gateway and waits until it is ready. */
  async function startGateway (options) {
    const { ip } = options
    const listen = { front: `${ip}:${await findFreePort(ip)}`, ready: `${ip}:${await findFreePort(ip)}`, control: `${ip}:${await findFreePort(ip)}` }
    const started = await startProcess('gateway', { ...options, listen })
    return { ...started, ...listen, isReady: () => isReady(listen.ready) }
  }

  return {
    takeIp: () => `${net}.${hosts++}`,
    startGateway,
    startSidecar: (options) => startProcess('sidecar', options),
    /** Starts a proxy to an address. While it is silent, it passes nothing on and accepts connections that carry nothing. */
    async startProxy (ip, target) {
      const proxy = await startProxy(ip, target)
      closers.push(proxy.close)
      return proxy
    },
    onClose (fn) { closers.push(fn) },
    async close () {
      isClosed = true
      const ends = [...children.values()].filter(({ exitCode, signalCode }) => exitCode === null && signalCode === null)
        .map((child) => new Promise((resolve) => { child.once('close', resolve) }))
      for (const child of children.values()) child.kill('SIGKILL')
      await Promise.all(ends)
      for (const fn of closers) fn()
      if (existsSync(folder)) rmSync(folder, { recursive: true })
    }
  }
}

async function isReady (address) {
  return await new Promise((resolve) => {
    const req = httpRequest(`http://${address}/v1/ready`, { agent: false }, (res) => {
      res.resume()
      resolve(res.statusCode === 200)
    })
    req.on('error', () => resolve(false))
    req.end()
  })
}

async function startProxy (ip, target) {
  const { connect } = await import('node:net')
  const pairs = new Set()
  let isSilent = false
  const server = createServer((near) => {
    near.on('error', () => {})
    if (isSilent) {
      pairs.add({ near })
      return
    }
    const far = connect({ host: target.split(':')[0], port: Number(target.split(':')[1]) })
    const pair = { near, far }
    pairs.add(pair)
    far.on('error', () => near.destroy())
    near.on('data', (data) => { if (!pair.isLost) far.write(data) })
    far.on('data', (data) => { if (!pair.isLost) near.write(data) })
    near.on('close', () => far.destroy())
    far.on('close', () => near.destroy())
  })
  await new Promise((resolve) => { server.listen(0, ip, resolve) })
  return {
    address: `${ip}:${server.address().port}`,
    setSilent (next) {
      isSilent = next
      // What went silent stays so; connections that are made later work again.
      if (next) for (const pair of pairs) pair.isLost = true
      else for (const { near, far } of pairs) if (far === undefined) near.destroy()
    },
    close () {
      for (const { near, far } of pairs) {
        near.destroy()
        far?.destroy()
      }
      server.close()
    }
  }
}

/** Sends one request on a new connection and returns what its client sees. */
export function send (record, address, { method = 'POST', path, host, id = randomBytes(8).toString('hex'), headers = {}, body = '', deadlineMs = 14_000 }) {
  const [hostname, port] = address.split(':')
  const sentMs = record.now()
  const result = { id, sentMs, status: 0, body: '', isComplete: false, retryAfter: undefined, seal: undefined, endMs: 0 }
  record.add(`client: sends ${id}, ${method} ${path}${headers['X-Prompt-Prefix'] === undefined ? '' : `, prompt ${headers['X-Prompt-Prefix']}`}`)
  const done = new Promise((resolve) => {
    const finish = (how) => {
      if (result.endMs > 0) return
      result.endMs = record.now()
      clearTimeout(timeout)
      record.add(`client: ${id} ${how}: status ${result.status}, ${result.isComplete ? 'whole' : 'not whole'}, ${result.seal ?? 'no seal'}, ${result.body.length} bytes${result.status >= 400 ? ` ${result.body}` : ''}`)
      resolve(result)
    }
    const req = httpRequest({
      hostname, port, method, path, agent: false, headers: { Host: host, 'X-Request-Id': id, 'X-Request-Deadline-Ms': String(deadlineMs), 'Content-Length': Buffer.byteLength(body), ...headers }
    }, (res) => {
      result.status = res.statusCode
      result.seal = res.headers['x-server-seal']
      result.retryAfter = res.headers['retry-after']
      result.firstMs = record.now()
      res.on('data', (data) => { result.body += data })
      res.on('end', () => {
        result.isComplete = res.complete
        finish('ends')
      })
      res.on('error', () => finish('is broken off'))
      res.on('close', () => finish('is broken off'))
    })
    const timeout = setTimeout(() => {
      req.destroy()
      finish('gives up at its deadline')
    }, deadlineMs)
    result.leave = () => {
      req.destroy()
      finish('leaves')
    }
    req.on('error', () => finish('gets no answer'))
    req.end(body)
  })
  return Object.assign(done, { result })
}

/** Builds a configuration of one model service and its routes, as an operator writes it. */
export function buildConfiguration ({ version = 7, host, routes, services, limits = {} }) {
  return JSON.stringify({
    version,
    routes: routes.map((route) => ({ host, timeout_ms: 14_000, target_latency_ms: 900, priority: 1, max_attempts: 1, ...route })),
    services,
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000, ...limits }
  })
}

/** The engine part of a model service, as on the sheets. */
export const engineRule = {
  slots: 64,
  kv_tokens: 79_304,
  kv_bytes: 163_840,
  link_mbps: 8_900_000,
  moves: true,
  backups: true,
  stride: 10,
  most: 12,
  handle_ttl_s: 0.5,
  stage_switch_s: 0.3,
  pin_ms: 4000,
  hold_ms: 2000,
  models: [{ name: 'm' }]
}
