/**
 * An engine that states the length of a stream breaks it off, another one goes on with longer events, and what follows on the client's
 * connection is no answer.
 */
import { connect } from 'node:net'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { buildConfiguration, engineRule, runCase, sleep, until } from '../lib-2/rig.mjs'
import { startStore } from '../lib-2/store.mjs'
import { startWorker } from '../lib-2/worker.mjs'

const host = 'llm.example'
const zones = { levis: 'qc-est' }
const streams = 1200
const streamMs = 50
/** Each answer of this number is broken off at the engines that do so: a share of 0.02. */
const brokenEach = 50
/** Length in milliseconds of each time in which they do so, and of the pause between two of them. */
const garbleMs = 5_000
const pauseMs = 1_000

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ rig, record, isTroubled }) => {
  const store = await startStore({ ip: rig.takeIp(), record })
  rig.onClose(store.close)
  store.put('op/config', buildConfiguration({
    host,
    routes: [
      { name: 'r-1', prefix: '/avis/', kind: 'streaming', gap_aim_ms: 300, max_attempts: 2, allow_resume: true, session_affinity: true, service: 'llm' },
      { name: 'r-2', prefix: '/suivi/', kind: 'idempotent', max_attempts: 2, timeout_ms: 2_000, service: 'registre' }
    ],
    services: [{ name: 'llm', health_path: '/health', max_connections: 360, engine: engineRule }, { name: 'registre', health_path: '/health', max_connections: 100 }]
  }))
  const startMs = record.now()
  for (let number = 0; number < 6; number++) {
    const ip = rig.takeIp()
    // Two of the six break answers off.
    const isFaulty = isTroubled && (number === 1 || number === 2)
    let answers = 0
    const engine = await startWorker({
      ip,
      service: 'llm',
      zone: 'levis',
      stage: number === 0 ? 'prefill' : 'decode',
      store,
      record,
      // The engine writes its answer once it has generated all of it, so that it knows the length.
      isWhole: true,
      breaksOff: () => isFaulty && (record.now() - startMs) % (garbleMs + pauseMs) < garbleMs && ++answers % brokenEach === 0
    })
    rig.onClose(engine.close)
    await rig.startSidecar({ name: `side-${number + 1}`, ip, zone: 'levis', zones, storeAddress: store.address, app: engine.address })
  }
  const plain = await startWorker({ ip: rig.takeIp(), service: 'registre', zone: 'levis', store, record })
  rig.onClose(plain.close)
  const gateway = await rig.startGateway({ name: 'edge-1', ip: rig.takeIp(), zone: 'levis', zones, storeAddress: store.address })
  await until('the gateway is ready', gateway.isReady)
  await sleep(5_000)

  /** Sends a stream and then a lookup on one connection, as clients that keep connections open do, and returns all bytes that come. */
  const followOnOneConnection = async (index) => {
    const [hostname, port] = gateway.front.split(':')
    const socket = connect(Number(port), hostname)
    let text = ''
    const state = { isEnded: false }
    socket.on('data', (data) => { text += data.toString('latin1') })
    socket.on('close', () => { state.isEnded = true })
    socket.on('error', () => {})
    const streamId = `5e${(10_000 + index).toString(16)}`
    const lookupId = `10${(10_000 + index).toString(16)}`
    socket.write(`POST /avis/1 HTTP/1.1\r\nHost: ${host}\r\nX-Request-Id: ${streamId}\r\nX-Model: m\r\nX-Token-Counts: 400,60\r\nX-Length-Hint: 60\r\nX-Prompt-Prefix: 5a00:200,${(10_000 + index).toString(16)}:200\r\nX-Request-Deadline-Ms: 14000\r\nContent-Length: 0\r\n\r\n`)
    const readAnswer = () => {
      const headEnd = text.indexOf('\r\n\r\n')
      if (headEnd < 0) return undefined
      const length = /content-length: (\d+)/i.exec(text.slice(0, headEnd))?.[1]
      const isChunked = /transfer-encoding: chunked/i.test(text.slice(0, headEnd))
      const bodyStart = headEnd + 4
      if (isChunked) {
        const end = text.indexOf('0\r\n\r\n', bodyStart)
        return end < 0 ? undefined : { head: text.slice(0, headEnd), body: text.slice(bodyStart, end), rest: text.slice(end + 5) }
      }
      if (length === undefined || text.length < bodyStart + Number(length)) return undefined
      return { head: text.slice(0, headEnd), body: text.slice(bodyStart, bodyStart + Number(length)), rest: text.slice(bodyStart + Number(length)) }
    }
    for (let waitedMs = 0; readAnswer() === undefined && !state.isEnded && waitedMs < 14_000; waitedMs += 20) await sleep(20)
    const answer = readAnswer()
    if (answer === undefined) {
      record.add(`client: ${streamId} gets no whole answer, ${text.length} bytes`)
      socket.destroy()
      return { isStreamWhole: false }
    }
    record.add(`client: ${streamId} is whole by its length: ${JSON.stringify(answer.head.split('\r\n')[0])}, body ${JSON.stringify(answer.body)}`)
    text = answer.rest
    socket.write(`GET /suivi/1 HTTP/1.1\r\nHost: ${host}\r\nX-Request-Id: ${lookupId}\r\nX-Request-Deadline-Ms: 1500\r\n\r\n`)
    await sleep(400)
    record.add(`client: ${lookupId} gets on the same connection ${JSON.stringify(text.slice(0, 200))}`)
    socket.destroy()
    const lastEvent = /\n\n$/.test(answer.body)
    return { isStreamWhole: true, endsInsideEvent: !lastEvent, isForeign: text.length > 0 && !text.startsWith('HTTP/1.1 ') }
  }
  const all = []
  for (let index = 0; index < streams; index++) {
    all.push(followOnOneConnection(index))
    await sleep(streamMs)
  }
  const ended = await Promise.all(all)
  const cut = ended.filter(({ endsInsideEvent }) => endsInsideEvent)
  const foreign = ended.filter(({ isForeign }) => isForeign)
  record.add(`of ${ended.length} streams, ${cut.length} ended as complete inside an event; ${foreign.length} lookups got bytes of a stream that are no answer`)
  return cut.length > 0
})
