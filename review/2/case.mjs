/**
 * KV caches lapse at once for some seconds at the one engine of four that reads prompts, so the decode engines refuse to fetch them, and the
 * gateway asks the same engine once more, to read the prompt itself. Two engines repeat a few of their answers, late, where the next one
 * is due. A client whose stream has run must not be told that it has not.
 */
import { buildConfiguration, generationHeaders, sendRequest, sleep, startWorker, until } from '../lib/deployment.mjs'
import { runCase } from '../lib/run_case.mjs'

/** Times for which KV caches lapse at once, and for which they do not. */
const lapseMs = 4000
const calmMs = 8000
/** Share of the engine's answers that come twice, chosen by a seeded generator. */
const repeatedShare = 0.03
const seed = 7
const repeating = new Set(['d2', 'd3'])
const events = 5
const eventMs = 20
const everyMs = 40
const warmUpMs = 12_000
const playMs = 60_000

/** `TROUBLE=0` leaves the disruption out. */
const options = { recordFile: new URL('record.txt', import.meta.url), hasTrouble: process.env.TROUBLE !== '0' }

await runCase(options, async ({ deployment, note, hasTrouble, onEnd }) => {
  const state = { isOver: false, isRepeating: false, isLapsing: false }
  const counts = { fetches: 0, lapsed: 0, answers: 0, repeated: 0, repeatedRefusals: 0 }
  const ran = new Set()
  let random = seed
  /** Copies that are due on a connection in front of its next answer. */
  const copies = new WeakMap()

  /** Returns a number from 0 up to but not including 1. */
  function draw () {
    random = (random * 1_103_515_245 + 12_345) % 2_147_483_648
    return random / 2_147_483_648
  }

  function refuse (req, res) {
    const id = req.headers['x-request-id']
    res.writeHead(503, { 'X-Not-Executed': '1', 'X-Request-Id': id, 'Content-Length': 0 })
    res.end()
    return `HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Request-Id: ${id}\r\nContent-Length: 0\r\n\r\n`
  }

  function stream (req, res) {
    const id = req.headers['x-request-id']
    ran.add(id)
    const head = { 'X-Request-Id': id, 'X-Server-Seal': `seal-${id}`, 'Content-Type': 'text/event-stream' }
    let text = ''
    res.writeHead(200, head)
    let sent = 0
    const timer = setInterval(() => {
      const event = `id: ${++sent}\ndata: piece ${sent}\n\n`
      text += event
      res.write(event)
      if (sent < events) return
      clearInterval(timer)
      res.end()
    }, eventMs)
    res.on('close', () => clearInterval(timer))
    return () => `HTTP/1.1 200 OK\r\n${Object.entries(head).map(([name, value]) => `${name}: ${value}\r\n`).join('')}Content-Length: ${text.length}\r\n\r\n${text}`
  }

  function serve (engine, req, res) {
    const { socket } = req
    const copy = copies.get(socket)
    if (copy !== undefined) {
      copies.delete(socket)
      socket.write(typeof copy === 'string' ? copy : copy())
    }
    const isFetch = req.headers['x-kv-source'] !== undefined
    if (isFetch) counts.fetches++
    const hasLapsed = isFetch && state.isLapsing
    if (hasLapsed) counts.lapsed++
    const answer = hasLapsed ? refuse(req, res) : stream(req, res)
    counts.answers++
    if (!repeating.has(engine) || draw() >= repeatedShare || !state.isRepeating) return
    counts.repeated++
    if (hasLapsed) {
      counts.repeatedRefusals++
      note(`engine will repeat its refusal of ${req.headers['x-request-id']} late`)
    }
    copies.set(socket, answer)
  }

  deployment.store.put('op/config', buildConfiguration(1))
  const engines = []
  for (const [i, stage] of ['prefill', 'decode', 'decode', 'decode'].entries()) {
    const id = `d${i + 1}`
    const engine = await startWorker({ id, service: 'llm', stage, host: `127.0.0.${11 + i}`, serve: (req, res) => serve(id, req, res) })
    onEnd(() => engine.close())
    deployment.store.put(`servers/${id}`, engine.entry())
    engines.push(engine)
  }
  const gateway = await deployment.startGateway('edge-1', '127.0.0.2')
  const seeds = [`${gateway.ip}:${gateway.ports.control}`]
  for (const [i, engine] of engines.entries()) deployment.startSidecar(`side-${i + 1}`, `127.0.0.${11 + i}`, engine.address, { seeds })
  if (!await until(gateway.ready, 10_000)) throw new Error('the gateway is not ready')
  await sleep(3000)

  const breaches = []
  const ends = {}
  let sent = 0
  const pending = []
  const load = (async () => {
    while (!state.isOver) {
      const id = `s${++sent}`
      pending.push(sendRequest({ host: gateway.ip, port: gateway.ports.front, path: '/scan/1', id, headers: generationHeaders(`aa${sent}`) }).then(({ status, error, body, isComplete }) => {
        const end = error ?? `${status}${isComplete ? '' : ' incomplete'}`
        ends[end] = (ends[end] ?? 0) + 1
        if (status !== 503 || !ran.has(id)) return
        const text = `${id} was answered 503 ${body} and has run`
        note(text)
        breaches.push(text)
      }))
      await sleep(everyMs)
    }
  })()
  await sleep(warmUpMs)
  state.isRepeating = hasTrouble
  if (hasTrouble) note(`from now on d2 and d3 repeat a share of ${repeatedShare} of their answers`)
  const endMs = performance.now() + playMs
  while (performance.now() < endMs) {
    state.isLapsing = hasTrouble
    if (hasTrouble) note('KV caches lapse at once')
    await sleep(lapseMs)
    state.isLapsing = false
    await sleep(calmMs)
  }
  state.isOver = true
  await load
  await Promise.all(pending)
  note(`streams: ${sent}, ends: ${JSON.stringify(ends)}, at the engine: ${JSON.stringify(counts)}`)
  return breaches
})
