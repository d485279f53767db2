/**
 * A plain worker in need names the rate that it takes (`Server-Limit`), so requests wait at the gateway for their places. Then its entry
 * is removed, as that of a worker that leaves without having reported `draining`. Requests that wait must not reach it after `drain_ms`.
 */
import { buildConfiguration, sendRequest, sleep, startWorker, until } from '../lib/deployment.mjs'
import { runCase } from '../lib/run_case.mjs'

const drainMs = 2500
const limitPerS = 5
/** Requests come a little faster than the worker takes them, until their places are some seconds away. */
const clientPerS = 7
const limitedMs = 22_000
const inTouchMs = 4000

await runCase(import.meta.url, async ({ deployment, note, hasTrouble, onEnd }) => {
  const { store } = deployment
  const arrivals = []
  const worker = await startWorker({
    id: 'p1',
    service: 'plain',
    host: '127.0.0.21',
    serve (req, res) {
      arrivals.push({ atMs: performance.now(), request: req.headers['x-request-id'] })
      res.writeHead(200, { 'X-Request-Id': req.headers['x-request-id'], 'X-Server-Seal': 'seal-p1', 'Content-Length': 6, 'Server-Limit': String(limitPerS) })
      res.end('signed')
    }
  })
  const engine = await startWorker({ id: 'd1', service: 'llm', stage: 'decode', host: '127.0.0.11', serve: (_req, res) => res.destroy() })
  onEnd(() => { for (const part of [worker, engine]) part.close() })
  store.put('op/config', buildConfiguration(1, { routes: { sign: { target_latency_ms: 6000 } } }))
  store.put('servers/p1', worker.entry())
  store.put('servers/d1', engine.entry())
  const gateway = await deployment.startGateway('edge-1', '127.0.0.2')
  deployment.startSidecar('side-1', '127.0.0.11', engine.address, { seeds: [`${gateway.ip}:${gateway.ports.control}`] })
  if (!await until(gateway.ready, 10_000)) throw new Error('the gateway is not ready')
  await sleep(inTouchMs + 1000)

  const pending = []
  const ends = {}
  const endMs = performance.now() + limitedMs
  for (let n = 1; performance.now() < endMs; n++) {
    const atMs = performance.now()
    pending.push(sendRequest({ host: gateway.ip, port: gateway.ports.front, path: '/sign/1', id: `r${n}` }).then(({ id, status, error, tookMs }) => {
      ends[error ?? status] = (ends[error ?? status] ?? 0) + 1
      if (n % 10 === 0) note(`${id}: ${error ?? status} after ${tookMs} ms`)
    }))
    await sleep(Math.max(0, 1000 / clientPerS - (performance.now() - atMs)))
  }
  note(`${pending.length} requests sent, ${arrivals.length} have reached the worker`)
  if (hasTrouble) {
    store.remove('servers/p1')
    note('store accepted: servers/p1 removed')
  }
  const goneMs = hasTrouble ? performance.now() : Infinity
  await Promise.all(pending)
  await sleep(500)
  note(`answers by status: ${JSON.stringify(ends)}`)
  const late = arrivals.filter(({ atMs }) => atMs > goneMs + drainMs)
  note(`${arrivals.filter(({ atMs }) => atMs > goneMs).length} requests reached the worker after its removal, ${late.length} later than ${drainMs} ms`)
  return late.map(({ atMs, request }) => `${request} reached p1 ${Math.round(atMs - goneMs)} ms after its removal`)
})
