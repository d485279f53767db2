/**
 * Starts the programs of the deploy file as processes on loopback addresses, and sends requests as clients.
 */
import { spawn } from 'node:child_process'
import { mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, connect } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..')
const bounds = {
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
const zones = { rimouski: 'qc-est', gatineau: 'qc-ouest', levis: 'qc-est' }

/** Returns the command of a role of the deploy file. */
function readCommand (role) {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8')
  const section = text.split(`[roles.${role}]`)[1]?.split('\n[')[0] ?? ''
  const run = /^run = "(.*)"$/m.exec(section)?.[1]
  if (run === undefined) throw new Error(`deploy/system.toml has no command of ${role}`)
  return run.split(' ')
}

/** Returns a port that is free at a loopback address. */
export async function findPort (host) {
  const server = createServer()
  await new Promise((resolve, reject) => server.once('error', reject).listen(0, host, resolve))
  const { port } = server.address()
  await new Promise((resolve) => server.close(resolve))
  return port
}

/** Time in milliseconds after which a script ends as one that could not run. */
const maxRunMs = 118_000
/** Exit code of a script that could not run. */
const couldNotRun = 2

/** Ends the started processes and removes their folder when the script ends in any other way than by `close`. */
function endWithScript (processes, folder) {
  process.once('exit', () => {
    for (const handle of processes) {
      handle.isStopped = true
      handle.child.kill('SIGKILL')
    }
    if (process.env.KEEP !== '1') rmSync(folder, { recursive: true, force: true })
  })
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.once(signal, () => process.exit(couldNotRun))
  process.once('uncaughtException', (err) => {
    console.error(err)
    process.exit(couldNotRun)
  })
  setTimeout(() => {
    console.error(`not done within ${maxRunMs} ms`)
    process.exit(couldNotRun)
  }, maxRunMs).unref()
}

/** Returns a port that is free at a loopback address, and the next one with it. */
async function findPortPair (host) {
  for (;;) {
    const port = await findPort(host)
    const server = createServer()
    const isNextFree = await new Promise((resolve) => server.once('error', () => resolve(false)).listen(port + 1, host, () => resolve(true)))
    if (!isNextFree) continue
    await new Promise((resolve) => server.close(resolve))
    return port
  }
}

/** Creates a deployment: machines with loopback addresses of their own, and the processes that run there. */
export async function createSystem ({ contracts = ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'split', 'stream', 'engine', 'platform'] } = {}) {
  const folder = mkdtempSync(join(tmpdir(), 'briarloom-review-'))
  const net = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`
  let machines = 0
  const processes = new Set()
  const ports = { front: await findPort(`${net}.1`), ready: await findPort(`${net}.1`), control: await findPort(`${net}.1`), internal: await findPortPair(`${net}.1`) }
  const seeds = []
  endWithScript(processes, folder)

  const system = {
    folder,
    processes,
    ports,
    /** Returns the address of a new machine. */
    newMachine: () => `${net}.${++machines}`,
    /** Starts the process of a role on a machine, and starts it again whenever it ends by itself. */
    start (role, { ip, zone = 'levis', app, storeAddress, restart = true, restartMs = 500, memoryMb }) {
      const name = `${role}-${ip}`
      const isGateway = role === 'gateway'
      const file = join(folder, `${name}.json`)
      if (isGateway && seeds.length < 3) seeds.push(`${ip}:${ports.control}`)
      writeFileSync(file, JSON.stringify({
        node_name: name,
        role,
        machine_class: isGateway ? 'edge' : 'side',
        serves: isGateway ? ['edge', 'control'] : ['side'],
        ip,
        zone,
        region: zones[zone],
        zones,
        listen: isGateway ? { front: `${ip}:${ports.front}`, ready: `${ip}:${ports.ready}`, control: `${ip}:${ports.control}` } : {},
        internal_port_range: [ports.internal, ports.internal + 15],
        seeds,
        bootstrap: true,
        in_tolerance: false,
        limits: { cpu_share: 0.513, cores: 1, memory_mb: memoryMb ?? (isGateway ? 200 : 282), max_fds: 4100, link_mbps: 1000, disk_mb: 0 },
        data_dir: null,
        discovery: 'platform',
        entry: 'vip',
        heartbeat_ms: 1200,
        contracts,
        fault_tolerance: { machines: 2, zones: 0, regions: 0 },
        bounds,
        platform: { address: storeAddress, form: 'read', writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1_048_576, ttl_min_ms: 1000 },
        ...(app === undefined ? {} : { app })
      }))
      const logFile = join(folder, `${name}.log`)
      mkdirSync(folder, { recursive: true })
      const handle = { name, ip, zone, logFile, child: undefined, isStopped: false, ends: [] }
      const launch = () => {
        const [program, ...args] = readCommand(role)
        const out = openSync(logFile, 'a')
        const { PATH, HOME, LANG } = process.env
        const child = spawn(program === 'node' ? process.execPath : program, args, { cwd: root, env: { PATH, HOME, LANG, BRIARLOOM_NODE_FILE: file }, stdio: ['ignore', out, out] })
        handle.child = child
        child.once('exit', (code, signal) => {
          handle.ends.push({ code, signal })
          if (!handle.isStopped && restart) setTimeout(launch, restartMs)
        })
      }
      handle.kill = (signal) => { handle.child.kill(signal) }
      handle.readLog = () => readFileSync(logFile, 'utf8')
      launch()
      processes.add(handle)
      return handle
    },
    /** Ends all processes that were started here. */
    async close ({ keepsLogs = false } = {}) {
      for (const handle of processes) {
        handle.isStopped = true
        handle.child.kill('SIGCONT')
        handle.child.kill('SIGKILL')
      }
      await new Promise((resolve) => setTimeout(resolve, 100))
      if (!keepsLogs) rmSync(folder, { recursive: true, force: true })
    }
  }
  return system
}

/** Waits until `fn` returns true; throws after `withinMs` milliseconds. */
export async function until (fn, withinMs, what) {
  const endMs = performance.now() + withinMs
  while (!(await fn())) {
    if (performance.now() > endMs) throw new Error(`${what} did not happen within ${withinMs} ms`)
    await sleep(50)
  }
}

/** Waits for a time in milliseconds. */
export function sleep (ms) { return new Promise((resolve) => setTimeout(resolve, ms)) }

/**
 * Sends one request on a connection of its own and returns the answer as a client sees it: whether its framing says that it is complete.
 * `onData` receives the bytes of the body so far and may return true to leave.
 */
export function send ({ host, port, method = 'POST', path, hostName, requestId, headers = {}, body = '', timeoutMs = 14_000, onData }) {
  return new Promise((resolve) => {
    const sentMs = performance.now()
    const socket = connect(port, host)
    let raw = Buffer.alloc(0)
    let isOver = false
    const finish = (how) => {
      if (isOver) return
      isOver = true
      clearTimeout(timer)
      socket.destroy()
      resolve({ requestId, how, tookMs: Math.round(performance.now() - sentMs), ...parseResponse(raw) })
    }
    const timer = setTimeout(() => finish('timeout'), timeoutMs)
    const fields = { Host: hostName, 'X-Request-Id': requestId, 'X-Request-Deadline-Ms': String(timeoutMs), ...headers, ...(method === 'GET' ? {} : { 'Content-Length': Buffer.byteLength(body) }) }
    socket.setNoDelay(true)
    socket.on('connect', () => socket.write(`${method} ${path} HTTP/1.1\r\n${Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n${body}`))
    socket.on('data', (chunk) => {
      raw = Buffer.concat([raw, chunk])
      const parsed = parseResponse(raw)
      if (parsed.isComplete) finish('answered')
      else if (onData?.(parsed) === true) finish('left')
    })
    socket.on('end', () => finish('closed'))
    socket.on('error', (err) => finish(err.code ?? 'error'))
    socket.on('close', () => finish('closed'))
  })
}

/** Parses the bytes of a response; `isComplete` is true when its length or its last chunk has come. */
export function parseResponse (raw) {
  const headEnd = raw.indexOf('\r\n\r\n')
  if (headEnd < 0) return { status: 0, headers: {}, body: '', isComplete: false }
  const [statusLine, ...lines] = raw.subarray(0, headEnd).toString('latin1').split('\r\n')
  const headers = Object.fromEntries(lines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  const status = Number(statusLine.split(' ')[1])
  const rest = raw.subarray(headEnd + 4)
  if (headers['transfer-encoding'] === undefined) {
    const length = Number(headers['content-length'] ?? NaN)
    return { status, headers, body: rest.toString('latin1'), isComplete: rest.length >= length }
  }
  let body = ''
  let at = 0
  for (;;) {
    const lineEnd = rest.indexOf('\r\n', at)
    if (lineEnd < 0) return { status, headers, body, isComplete: false }
    const size = parseInt(rest.subarray(at, lineEnd).toString('latin1'), 16)
    if (size === 0) return { status, headers, body, isComplete: rest.length >= lineEnd + 4 }
    body += rest.subarray(lineEnd + 2, lineEnd + 2 + size).toString('latin1')
    at = lineEnd + 2 + size + 2
    if (at > rest.length) return { status, headers, body, isComplete: false }
  }
}

/** Asks a gateway whether it is ready. */
export async function isReady (host, port) {
  const { status } = await send({ host, port, method: 'GET', path: '/v1/ready', hostName: 'x', requestId: 'ready', timeoutMs: 1_000 })
  return status === 200
}
