/**
 * Workers of a plain service and of an engine service stream without a length; some of them crash inside an event.
 */
import { writeFileSync } from 'node:fs'
import { startStore } from '../lib-3/store.mjs'
import { createSystem, findPort, isReady, send, sleep, until } from '../lib-3/system.mjs'
import { startWorker } from '../lib-3/worker.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
const streamsOfEachKind = 40
const gapMs = 200
const eventCount = 20
const eventMs = 40
/** Time in milliseconds for which a crashed worker is down. */
const downMs = 4_000
const record = []
const log = (entry) => record.push(JSON.stringify({ atMs: Math.round(performance.now()), ...entry }))
/** Streams that a worker is writing, by the worker. */
const active = new Map()
/** Ids of the requests whose worker has crashed inside an event. */
const cut = []

/** Streams events without a length; the end of the connection ends the stream. */
function answer (req, res, _body, worker) {
  const { socket } = res
  const requestId = req.headers['x-request-id']
  const head = Object.entries(worker.headersFor(req, { 'Content-Type': 'text/event-stream', Connection: 'close' }))
  socket.write(`HTTP/1.1 200 OK\r\n${head.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`)
  const stream = { requestId, socket, event: 0 }
  const streams = active.get(worker) ?? new Set()
  active.set(worker, streams.add(stream))
  const timer = setInterval(() => {
    stream.event++
    worker.noteEvent(req)
    socket.write(`id: ${stream.event}\ndata: piece ${stream.event} of ${eventCount}\n\n`)
    if (stream.event < eventCount) return
    clearInterval(timer)
    streams.delete(stream)
    socket.end()
  }, eventMs)
  socket.on('close', () => {
    clearInterval(timer)
    streams.delete(stream)
  })
}

/** Crashes a worker while it writes events: what it has written leaves, and the system closes its sockets. */
function crashInsideEvents (worker) {
  for (const { requestId, socket, event } of active.get(worker) ?? []) {
    socket.write(`id: ${event + 1}\ndata: piece ${event + 1} of`)
    cut.push(requestId)
  }
  worker.crash(downMs)
}

/** Waits until one of the workers is well into a stream, and returns it. */
async function findBusy (workers) {
  const isBusy = (worker) => [...active.get(worker) ?? []].some(({ event }) => event > 2 && event < eventCount - 2)
  let busy
  await until(() => (busy = workers.find(isBusy)) !== undefined, 5_000, 'a stream')
  return busy
}

async function main (system, closers) {
  const store = await startStore(system.newMachine())
  closers.push(() => store.close())
  const engine = { slots: 64, kv_tokens: 79_304, kv_bytes: 163_840, link_mbps: 11_000_000, moves: true, backups: true, stride: 69, most: 12, handle_ttl_s: 0.5, stage_switch_s: 6, pin_ms: 4000, hold_ms: 2000, models: [{ name: 'm' }] }
  const route = { host: 'ficu95.example', kind: 'streaming', timeout_ms: 14_000, target_latency_ms: 900, priority: 1, max_attempts: 1, session_affinity: true, allow_resume: false, gap_aim_ms: 300 }
  store.put('op/config', {
    version: 7,
    routes: [
      { ...route, name: 'r-engine', prefix: '/lohu930/', service: 'huvo11a' },
      { ...route, name: 'r-plain', prefix: '/pufi791/', service: 'wuno96b' }
    ],
    services: [
      { name: 'huvo11a', health_path: '/health', max_connections: 360, protocol: 'h1', tls: false, engine },
      { name: 'wuno96b', health_path: '/health', max_connections: 100, protocol: 'h1', tls: false }
    ],
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000 }
  })
  const gatewayIp = system.newMachine()
  system.start('gateway', { ip: gatewayIp, storeAddress: store.address })
  const workers = { engine: [], plain: [] }
  for (let i = 0; i < 6; i++) {
    const host = system.newMachine()
    const port = await findPort(host)
    const worker = await startWorker({ store, service: 'huvo11a', host, port, stage: 'decode', answer, log })
    closers.push(() => worker.close())
    workers.engine.push(worker)
    system.start('sidecar', { ip: host, app: worker.address, storeAddress: store.address })
  }
  for (let i = 0; i < 6; i++) {
    const host = system.newMachine()
    const worker = await startWorker({ store, service: 'wuno96b', host, port: await findPort(host), answer, log })
    closers.push(() => worker.close())
    workers.plain.push(worker)
  }
  await until(() => isReady(gatewayIp, system.ports.ready), 15_000, 'readiness')
  await sleep(12_000)

  const results = []
  const sends = []
  for (let i = 0; i < 2 * streamsOfEachKind; i++) {
    const [kind, path] = i % 2 === 0 ? ['plain', '/pufi791/2f'] : ['engine', '/lohu930/2f']
    const requestId = `${kind}-${i}`
    const headers = { 'X-Model': 'm', 'X-Token-Counts': '1460,80', 'X-Prompt-Prefix': `${i.toString(16)}a:200,b${i}:1260` }
    sends.push(send({ host: gatewayIp, port: system.ports.front, path, hostName: 'ficu95.example', requestId, headers, body: 'x'.repeat(1000) }).then((result) => {
      results.push(result)
      const { how, status, isComplete, body, headers: { 'content-length': length, 'transfer-encoding': encoding, 'x-server-seal': seal } } = result
      log({ what: 'client', requestId, how, status, complete: isComplete, framing: length ?? encoding, seal, bodyEnds: body.slice(-30) })
    }))
    if (hasTrouble && i === streamsOfEachKind) for (const kind of ['plain', 'engine']) findBusy(workers[kind]).then(crashInsideEvents, (err) => log({ what: 'no crash', kind, message: err.message }))
    await sleep(gapMs / 2)
  }
  await Promise.all(sends)

  const isWhole = ({ body }) => body.endsWith(`data: piece ${eventCount} of ${eventCount}\n\n`)
  const wrong = results.filter((result) => result.status === 200 && result.isComplete && !isWhole(result))
  const good = results.filter((result) => result.status === 200 && result.isComplete && isWhole(result))
  log({ what: 'result', trouble: hasTrouble, requests: results.length, whole: good.length, cutInsideAnEvent: cut, completeButCut: wrong.map(({ requestId }) => requestId) })
  if (hasTrouble && !cut.some((requestId) => requestId.startsWith('plain'))) throw new Error('no plain worker crashed inside a stream')
  if (good.length < results.length / 2) throw new Error(`only ${good.length} of ${results.length} streams were whole`)
  return wrong.length > 0 ? 1 : 0
}

const system = await createSystem()
const closers = []
let status = 2
try {
  status = await main(system, closers)
} catch (err) {
  log({ what: 'error', message: err.message })
  console.error(err)
}
for (const close of closers) await close()
await system.close({ keepsLogs: process.env.KEEP === '1' })
writeFileSync(new URL('record.txt', import.meta.url), `${record.join('\n')}\n`)
console.log(record.at(-1))
process.exit(status)
