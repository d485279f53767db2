/**
 * One engine is in trouble: the bodies of its streams hold bytes without end and no event. The gateway keeps them all while it waits for
 * the end of the event, and needs more memory than its machine has. The platform then kills it, with the requests that it has in flight.
 */
import { Agent, request as httpRequest } from 'node:http'
import { buildConfiguration, generationHeaders, readMemoryMb, sendRequest, sleep, startWorker, until } from '../lib/deployment.mjs'
import { runCase } from '../lib/run_case.mjs'

/** Memory of an `edge` machine, at which the platform kills a process. */
const memoryMb = 200
/** Bytes that the engine in trouble sends in a second on all connections together: four fifths of the link of an `edge` machine. */
const endlessBytesPerS = 100e6
const tickMs = 10
const streamsPerS = 4
/** A client leaves a stream after a gap of four times the objective, the longest of the three times that the protocol names. */
const streamGapMs = 3600
const plainClients = 8
const plainWorkMs = 150
const timeoutMs = 800
/** Fewer requests than this beyond their route's timeout say nothing about the share of them that got no answer. */
const minOverdue = 8
const playMs = 20_000
/** More closed connections than this break the rule. */
const allowedLosses = 3

/** `TROUBLE=0` leaves the disruption out. */
const options = { recordFile: new URL('record.txt', import.meta.url), hasTrouble: process.env.TROUBLE !== '0' }

await runCase(options, async ({ deployment, note, hasTrouble, onEnd }) => {
  const endless = new Set()
  const state = { inTrouble: undefined, isOver: false }
  const buildEvent = (id) => `id: ${id}\ndata: piece ${id}\n\n`

  function serveStream (engine, req, res) {
    const id = req.headers['x-request-id']
    note(`${engine} runs ${id}${engine === state.inTrouble ? ', without end' : ''}`)
    res.writeHead(200, { 'X-Request-Id': id, 'X-Server-Seal': `seal-${id}`, 'Content-Type': 'text/event-stream' })
    if (engine === state.inTrouble) {
      endless.add(res)
      res.on('close', () => endless.delete(res))
      return
    }
    let sent = Number(req.headers['last-event-id'] ?? 0)
    const timer = setInterval(() => {
      res.write(buildEvent(++sent))
      if (sent < 20) return
      clearInterval(timer)
      res.end()
    }, 30)
    res.on('close', () => clearInterval(timer))
  }
  const ticker = setInterval(() => {
    const open = [...endless].filter((res) => !res.writableNeedDrain)
    const bytes = Math.floor(endlessBytesPerS * tickMs / 1000 / Math.max(1, open.length))
    for (const res of open) res.write(Buffer.alloc(bytes, 'x'))
  }, tickMs)
  onEnd(() => clearInterval(ticker))

  deployment.store.put('op/config', buildConfiguration(1, { routes: { sign: { timeout_ms: timeoutMs, target_latency_ms: 250 } } }))
  const sides = []
  for (const [i, stage] of ['prefill', 'decode', 'decode'].entries()) {
    const id = `d${i + 1}`
    const host = `127.0.0.${11 + i}`
    const engine = await startWorker({ id, service: 'llm', stage, host, serve: (req, res) => serveStream(id, req, res) })
    onEnd(() => engine.close())
    deployment.store.put(`servers/${id}`, engine.entry())
    sides.push([`side-${i + 1}`, host, engine.address])
  }
  const plain = await startWorker({
    id: 'p1',
    service: 'plain',
    host: '127.0.0.21',
    serve (req, res) {
      setTimeout(() => {
        res.writeHead(200, { 'X-Request-Id': req.headers['x-request-id'], 'X-Server-Seal': 'seal-p1', 'Content-Length': 6 })
        res.end('signed')
      }, plainWorkMs)
    }
  })
  onEnd(() => plain.close())
  deployment.store.put('servers/p1', plain.entry())
  const gateway = await deployment.startGateway('edge-1', '127.0.0.2')
  for (const side of sides) deployment.startSidecar(...side, { seeds: [`${gateway.ip}:${gateway.ports.control}`] })
  if (!await until(gateway.ready, 10_000)) throw new Error('the gateway is not ready')
  await sleep(7000)

  let mostMb = 0
  const watch = setInterval(() => {
    const mb = readMemoryMb(gateway.pid)
    if (mb > mostMb + 10) note(`gateway has ${Math.round(mb)} MB`)
    mostMb = Math.max(mostMb, mb)
    if (mb <= memoryMb || gateway.ended !== undefined || gateway.isKilled) return
    gateway.isKilled = true
    note(`gateway has ${Math.round(mb)} MB of ${memoryMb} MB: the platform kills it`)
    gateway.child.kill('SIGKILL')
  }, 20)
  onEnd(() => clearInterval(watch))

  // Clients of the plain service, each with a connection that it keeps.
  const results = { answered: 0, refused: 0, lost: [], overdue: 0, late: 0 }
  const plainDone = Array.from({ length: plainClients }, async (_, client) => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    for (let n = 1; !state.isOver && gateway.ended === undefined; n++) {
      const id = `c${client}-${n}`
      const startMs = performance.now()
      await new Promise((resolve) => {
        const req = httpRequest({
          host: gateway.ip, port: gateway.ports.front, method: 'POST', path: '/sign/1', agent, headers: { Host: 'a.example', 'X-Request-Id': id, 'X-Request-Deadline-Ms': '1500' }
        }, (res) => {
          res.resume()
          res.on('end', () => {
            if (res.statusCode === 200) results.answered++
            else results.refused++
            const tookMs = performance.now() - startMs
            if (tookMs > timeoutMs) results.overdue++
            if (tookMs > timeoutMs + 500) results.late++
            resolve()
          })
          res.on('error', resolve)
        })
        req.on('error', (err) => {
          note(`client c${client}: connection closed without an answer to ${id} (${req.reusedSocket ? 'kept' : 'new'}, ${err.code}, after ${Math.round(performance.now() - startMs)} ms)`)
          if (req.reusedSocket && err.code === 'ECONNRESET') results.lost.push(id)
          resolve()
        })
        req.end('x')
      })
    }
    agent.destroy()
  })

  state.inTrouble = hasTrouble ? 'd2' : undefined
  if (hasTrouble) note('d2 is in trouble from now on')
  const streams = []
  const endMs = performance.now() + playMs
  for (let n = 1; performance.now() < endMs && gateway.ended === undefined; n++) {
    streams.push(sendRequest({ host: gateway.ip, port: gateway.ports.front, path: '/refus/1', id: `s${n}`, headers: generationHeaders(`aa${n}`), gapMs: streamGapMs }))
    await sleep(1000 / streamsPerS)
  }
  state.isOver = true
  await Promise.all(plainDone)
  const ends = {}
  for (const { status, isComplete, error } of await Promise.all(streams)) {
    const end = error ?? `${status}${isComplete ? '' : ' incomplete'}`
    ends[end] = (ends[end] ?? 0) + 1
  }
  note(`streams by their end: ${JSON.stringify(ends)}`)
  note(`plain requests: ${results.answered} answered with success, ${results.refused} otherwise, ${results.overdue} unanswered at the route's timeout, ${results.late} of them half a second later too, ${results.lost.length} lost on kept connections`)
  note(`gateway had ${Math.round(mostMb)} MB at most`)
  const breaches = []
  if (results.lost.length > allowedLosses) breaches.push(`LOST: ${results.lost.length} requests on kept connections got no answer: ${results.lost.join(' ')}`)
  if (results.overdue >= minOverdue && results.late * 2 > results.overdue) {
    breaches.push(`CONFIG: ${results.late} of ${results.overdue} requests unanswered at their route's timeout had no answer half a second later`)
  }
  return breaches
})
