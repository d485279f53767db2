/**
 * A deployment whose engines crash under prompts with one shared part.
 */
import { writeFileSync } from 'node:fs'
import { startStore } from './store.mjs'
import { createSystem, findPort, isReady, send, sleep, until } from './system.mjs'
import { startWorker } from './worker.mjs'

/** The rule counts from this time in milliseconds after the fifth crash, and allows this many requests. */
const stableWindowMs = 4_000
const crashesOfRule = 5
const allowedRequests = 3
/** Time in milliseconds that a request takes from a gateway to a worker here, at most; requests that arrive so soon after the window may have been sent in it. */
const tripMs = 100
const part = 'dead01'
/** Tokens of the part that comes first in a prompt, as the sheet has it. */
const sharedTokens = 200
const eventCount = 10
const eventMs = 40
const engine = {
  slots: 64, kv_tokens: 79_304, kv_bytes: 163_840, link_mbps: 11_000_000, moves: true, backups: true, stride: 69, most: 12, handle_ttl_s: 0.5, stage_switch_s: 6, pin_ms: 4000, hold_ms: 2000, models: [{ name: 'm' }]
}

/**
 * Runs the deployment. `sendPrompts(sendOne, startMs)` sends the prompts with the part, by `sendOne()`, and resolves when it has sent all;
 * without trouble, the part crashes nothing. A crashed engine is back after `downMs` milliseconds; with `sendsHead`, the head of the answer
 * leaves it before it crashes. Ends the process.
 */
export async function runPoison ({ folder, gateways = 3, engines = 6, soundGapMs = 200, promptTokens = 5_200, downMs, sendsHead, sendPrompts }) {
  const hasTrouble = process.env.TROUBLE !== '0'
  const record = []
  const entries = []
  const log = (entry) => {
    entries.push({ atMs: performance.now(), ...entry })
    record.push(JSON.stringify({ atMs: Math.round(performance.now()), ...entry }))
  }
  const closers = []
  const system = await createSystem()

  function answer (req, res, _body, worker) {
    const isFatal = hasTrouble && String(req.headers['x-prompt-prefix']).split(',')[0].startsWith(`${part}:`)
    if (isFatal && !sendsHead) return worker.crash(downMs)
    res.writeHead(200, worker.headersFor(req, { 'Content-Type': 'text/event-stream' }))
    res.flushHeaders()
    if (isFatal) {
      setTimeout(() => worker.crash(downMs), 5)
      return
    }
    let event = 0
    const timer = setInterval(() => {
      event++
      worker.noteEvent(req)
      res.write(`id: ${event}\ndata: piece ${event} of ${eventCount}\n\n`)
      if (event < eventCount) return
      clearInterval(timer)
      res.end()
    }, eventMs)
    res.on('close', () => clearInterval(timer))
  }

  async function main () {
    const store = await startStore(system.newMachine())
    closers.push(() => store.close())
    const route = { host: 'ficu95.example', kind: 'streaming', timeout_ms: 14_000, target_latency_ms: 900, priority: 1, max_attempts: 1, session_affinity: true, allow_resume: false, gap_aim_ms: 300 }
    store.put('op/config', {
      version: 7,
      routes: [{ ...route, name: 'r-engine', prefix: '/lohu930/', service: 'huvo11a' }],
      services: [{ name: 'huvo11a', health_path: '/health', max_connections: 360, protocol: 'h1', tls: false, engine }],
      limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000 }
    })
    const ips = Array.from({ length: gateways }, () => system.newMachine())
    for (const ip of ips) system.start('gateway', { ip, storeAddress: store.address })
    for (let i = 0; i < engines; i++) {
      const host = system.newMachine()
      const worker = await startWorker({ store, service: 'huvo11a', host, port: await findPort(host), stage: i === 0 ? 'prefill' : 'decode', answer, log })
      closers.push(() => worker.close())
      system.start('sidecar', { ip: host, app: worker.address, storeAddress: store.address })
    }
    for (const ip of ips) await until(() => isReady(ip, system.ports.ready), 15_000, 'readiness')
    await sleep(12_000)

    let number = 0
    const open = new Set()
    function sendOne (kind, prefix) {
      const requestId = `${kind}-${++number}`
      const headers = { 'X-Model': 'm', 'X-Token-Counts': `${promptTokens},70`, 'X-Prompt-Prefix': `${prefix}:${sharedTokens},e${number.toString(16)}:${promptTokens - sharedTokens}` }
      const sent = send({ host: ips[number % gateways], port: system.ports.front, path: '/lohu930/2f', hostName: 'ficu95.example', requestId, headers, body: 'x'.repeat(1000) }).then((result) => {
        open.delete(sent)
        log({ what: 'client', requestId, how: result.how, status: result.status, complete: result.isComplete, retryAfter: result.headers['retry-after'], error: result.status === 200 ? undefined : result.body })
      })
      open.add(sent)
    }
    const sound = setInterval(() => sendOne('sound', `5c${(number % 2000).toString(16)}`), soundGapMs)
    const startMs = performance.now()
    log({ what: 'traffic begins' })
    await sleep(3_000)
    await sendPrompts(() => sendOne('crashing', part), startMs)
    clearInterval(sound)
    await Promise.all(open)

    const crashes = entries.filter(({ what }) => what === 'crash').map(({ atMs }) => atMs)
    const fromMs = (crashes[crashesOfRule - 1] ?? Infinity) + stableWindowMs + tripMs
    // A request counts once, by the first run for it at a worker; one that arrived anywhere before the window had ended doesn't count.
    const isOfPart = ({ request = '' }) => request.startsWith('crashing')
    const early = new Set(entries.filter((entry) => entry.what === 'arrived' && isOfPart(entry) && entry.atMs <= fromMs).map(({ request }) => request))
    const isLate = (entry) => isOfPart(entry) && entry.atMs > fromMs && !early.has(entry.request)
    const late = new Set(entries.filter((entry) => entry.what === 'run' && isLate(entry)).map(({ request }) => request))
    const lateAnywhere = new Set(entries.filter((entry) => entry.what === 'arrived' && isLate(entry)).map(({ request }) => request))
    const clients = entries.filter(({ what, requestId = '' }) => what === 'client' && requestId.startsWith('sound'))
    const brokenSound = clients.filter(({ complete, status, atMs }) => status === 200 && !complete && atMs > fromMs).length
    const served = clients.filter(({ complete, status }) => status === 200 && complete).length
    const ends = [...system.processes].flatMap((handle) => handle.ends).length
    log({ what: 'result', trouble: hasTrouble, crashes: crashes.map(Math.round), fifthCrashMs: Math.round(crashes[crashesOfRule - 1] ?? -1), lateRequestsRun: [...late], lateRequestsAtAnyWorker: [...lateAnywhere], sound: clients.length, soundServed: served, soundBrokenAfterwards: brokenSound, endsOfProcesses: ends })
    if (served < clients.length / 4) throw new Error(`only ${served} of ${clients.length} sound streams were served`)
    if (hasTrouble && crashes.length < crashesOfRule) throw new Error(`only ${crashes.length} crashes`)
    return late.size > allowedRequests ? 1 : 0
  }

  let status = 2
  try {
    status = await main()
  } catch (err) {
    log({ what: 'error', message: err.message })
    console.error(err)
  }
  for (const close of closers) await close()
  await system.close({ keepsLogs: process.env.KEEP === '1' })
  if (process.env.KEEP === '1') console.log(system.folder)
  writeFileSync(new URL('record.txt', folder), `${record.join('\n')}\n`)
  console.log(record.at(-1))
  process.exit(status)
}
