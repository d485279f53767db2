/**
 * Steps that press on the process of a gateway with a crowd of clients.
 */
import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request as httpRequest } from 'node:http'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { After, AfterAll, Given, Then, When } from '@cucumber/cucumber'
import { writePolicy } from '../cli/write_policy.ts'
import { bundleProgram } from '../scripts/bundle_program.ts'
import { startCrowd, watchProcess } from '../testing/crowd/mod.ts'
import { buildConfiguration, startStore, startWorker } from '../testing/fleuve/mod.ts'
import { findFreePort } from '../testing/ports/mod.ts'
import { until } from './gateway_test.ts'
import type { ChildProcess } from 'node:child_process'
import type { CrowdKind, WatchedProcess } from '../testing/crowd/mod.ts'
import type { FakeStore, FakeWorker } from '../testing/fleuve/mod.ts'

interface World {
  crowdGateway: {
    child: ChildProcess
    folder: string
    ports: { [address: string]: number }
    store: FakeStore
    worker: FakeWorker
    watched: WatchedProcess
    log: () => string
  }
  crowdStatus: number
}

const maxBodyBytes = 4_194_304
/** Largest old space of the heap in MiB, as in the deploy file. */
const heapMebibytes = 90
/** Longest time in milliseconds for which a crowd sends, and that for which it then stays. */
const pressMs = 10_000
const stayMs = 1_500
const answerMs = 20_000
const stepTimeout = { timeout: 90_000 }
const routeTimeoutMs = 60_000
const host = '127.0.0.1'
let nextId = 0
let bundleFolder: string | undefined

/** Returns the program that the deploy file runs, which is built once. */
async function getProgram (): Promise<string> {
  if (bundleFolder === undefined) {
    // The folder lies inside the repository, so that the bundle finds the packages that it loads.
    mkdirSync('out', { recursive: true })
    bundleFolder = mkdtempSync(join('out', 'crowd-'))
    await bundleProgram('cli/platform_main.ts', join(bundleFolder, 'briarloom.js'))
  }
  return join(bundleFolder, 'briarloom.js')
}

AfterAll(function () { if (bundleFolder !== undefined) rmSync(bundleFolder, { recursive: true, force: true }) })

function buildRules (): string {
  const { routes, limits } = JSON.parse(buildConfiguration(1))
  return buildConfiguration(1, {
    routes: routes.map((route: object) => ({ ...route, timeout_ms: routeTimeoutMs })),
    limits: { ...limits, max_body_bytes: maxBodyBytes, header_timeout_ms: 5000 }
  })
}

Given('a gateway process with {int} MiB of memory and {int} descriptors', stepTimeout,
  async function (this: World, memoryMebibytes: number, descriptors: number) {
    const folder = mkdtempSync(join(tmpdir(), 'crowd-'))
    const store = await startStore()
    const worker = await startWorker({ id: 'w1', service: 'plain' })
    store.put('op/config', buildRules())
    store.put('servers/w1', worker.buildEntry())
    const ports: { [address: string]: number } = {}
    for (const address of ['front', 'ready', 'control', 'metrics', 'internal', 'sidecarMetrics']) ports[address] = await findFreePort()
    await findFreePort() // The port behind the internal one is in use as well.
    const listen = Object.fromEntries(['front', 'ready', 'control'].map((address) => [address, `${host}:${ports[address]}`]))
    const settingsFile = join(folder, 'node.json')
    writeFileSync(settingsFile, JSON.stringify({
      node_name: 'edge-1',
      ip: host,
      zone: 'levis',
      zones: { levis: 'qc-est' },
      listen,
      internal_port_range: [ports.internal, 65_000],
      heartbeat_ms: 1200,
      limits: { cpu_share: 0.5, cores: 1, memory_mb: memoryMebibytes, max_fds: descriptors, link_mbps: 1000, disk_mb: 0 },
      platform: { address: store.address },
      bounds: { grace_s: 5, drain_ms: 2500, budget_ratio: 0.2, budget_slack: 54, budget_window_s: 10, lease_ms: 3000 }
    }))
    const policyFile = join(folder, 'policy.json')
    assert.equal(writePolicy('deploy/policy.jsonc', policyFile, { out: () => {}, err: console.error }), 0)
    const policy = JSON.parse(readFileSync(policyFile, 'utf8'))
    writeFileSync(policyFile, JSON.stringify({ ...policy, metrics: { gatewayPort: ports.metrics, sidecarPort: ports.sidecarMetrics } }))
    const child = spawn(process.execPath, [`--max-old-space-size=${heapMebibytes}`, await getProgram(), 'gateway', policyFile], {
      env: { ...process.env, BRIARLOOM_NODE_FILE: settingsFile }, stdio: ['ignore', 'pipe', 'pipe']
    })
    let log = ''
    for (const stream of [child.stdout, child.stderr]) stream?.on('data', (chunk) => { log = `${log.slice(-20_000)}${chunk}` })
    this.crowdGateway = { child, folder, ports, store, worker, watched: watchProcess(child.pid as number), log: () => log }
    await until(() => log.includes('"worker":"w1"') || hasEnded(this), 20_000, 'the first worker')
  })

After(async function (this: World) {
  if (this.crowdGateway === undefined) return
  const { child, folder, store, worker, watched } = this.crowdGateway
  watched.stop()
  if (!hasEnded(this)) {
    child.kill('SIGKILL')
    await once(child, 'exit')
  }
  await worker.close()
  await store.close()
  rmSync(folder, { recursive: true })
})

function hasEnded ({ crowdGateway: { child } }: World): boolean { return child.exitCode !== null || child.signalCode !== null }

function buildHead (): string {
  return `POST /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: crowd-${++nextId}\r\nX-Request-Deadline-Ms: ${routeTimeoutMs}\r\n`
}

When('{int} clients press on its {string} with {string}', stepTimeout,
  async function (this: World, clients: number, address: string, kind: CrowdKind) {
    const port = this.crowdGateway.ports[address] as number
    const crowd = startCrowd(kind, { host, port, clients, maxBodyBytes, buildHead })
    const endMs = performance.now() + pressMs
    while (performance.now() < endMs && !crowd.hasSentAll() && !hasEnded(this)) await sleep(20)
    await sleep(stayMs)
    crowd.close()
    const { child, watched } = this.crowdGateway
    const peak = `${Math.round(watched.peakMebibytes())} MiB, ${watched.peakSockets()} sockets`
    console.log(`${clients} x ${kind} at ${address}: ${peak}, ended ${child.signalCode ?? child.exitCode}; ${JSON.stringify(crowd.statuses())}`)
  })

async function sleep (ms: number): Promise<void> { await new Promise((resolve) => setTimeout(resolve, ms)) }

function requestOnce ({ crowdGateway: { ports } }: World): Promise<number> {
  const headers = { Host: 'a.example', 'X-Request-Id': `calm-${++nextId}`, 'X-Request-Deadline-Ms': String(answerMs) }
  return new Promise((resolve) => {
    httpRequest({ host, port: ports.front, method: 'GET', path: '/safe/x', headers, agent: false }, (res) => {
      res.resume()
      resolve(res.statusCode ?? 0)
    }).on('error', () => resolve(0)).end()
  })
}

Then('the gateway process lives, has had at most {int} MiB of memory and {int} sockets, and answers a request', stepTimeout,
  async function (this: World, mebibytes: number, sockets: number) {
    const { watched, log } = this.crowdGateway
    assert.ok(!hasEnded(this), `the process has ended: ${log().slice(-2000)}`)
    assert.equal(await requestOnce(this), 200)
    assert.ok(!hasEnded(this), 'the process has ended after the request')
    assert.ok(watched.peakMebibytes() <= mebibytes, `${watched.peakMebibytes()} MiB`)
    assert.ok(watched.peakSockets() <= sockets, `${watched.peakSockets()} sockets`)
  })

When('a client sends a body of {int} MiB in chunks of one byte', stepTimeout, async function (this: World, mebibytes: number) {
  const socket = connect(this.crowdGateway.ports.front as number, host)
  let received = ''
  socket.on('data', (chunk) => { received += String(chunk) }).on('error', () => {})
  const chunks = 4_096
  const part = Buffer.from('1\r\na\r\n'.repeat(chunks))
  socket.write(`${buildHead()}Transfer-Encoding: chunked\r\n\r\n`)
  for (let sent = 0; sent < mebibytes * 1_048_576 / chunks && !socket.destroyed; sent++) {
    if (!socket.write(part)) await new Promise<void>((resolve) => { socket.once('drain', resolve).once('close', resolve) })
  }
  socket.write('0\r\n\r\n')
  await until(() => received.includes('\r\n\r\n') || socket.destroyed, routeTimeoutMs, 'a response')
  socket.destroy()
  this.crowdStatus = Number(received.slice(9, 12))
})

Then('the worker of the gateway process got that body whole, and its client 200', function (this: World) {
  assert.equal(this.crowdStatus, 200)
  assert.deepEqual(this.crowdGateway.worker.listRequests().map(({ body }) => body.length), [maxBodyBytes])
})
