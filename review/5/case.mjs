/**
 * The open connections between the gateway and a sidecar go silent for good, without a reset, while new ones work. The gateway must find
 * that out and serve streams again.
 */
import { connect, createServer } from 'node:net'
import { buildConfiguration, generationHeaders, sendRequest, sleep, startWorker, until } from '../lib/deployment.mjs'
import { runCase } from '../lib/run_case.mjs'

const dayMs = 88_000
const silentFromMs = 8_000
const streamEveryMs = 500
const plainEveryMs = 125

/** Forwards connections from one address to another; `silence` makes the open ones silent for good. */
async function startProxy (port, from, to) {
  const open = new Set()
  const server = createServer((socket) => {
    const peer = connect(port, to)
    const pair = { isSilent: false, sockets: [socket, peer] }
    open.add(pair)
    for (const [source, target] of [[socket, peer], [peer, socket]]) {
      source.on('data', (chunk) => { if (!pair.isSilent) target.write(chunk) })
      source.on('error', () => {})
      source.on('close', () => {
        if (pair.isSilent) return
        open.delete(pair)
        target.destroy()
      })
    }
  })
  await new Promise((resolve, reject) => server.once('error', reject).listen(port, from, resolve))
  return {
    silence () {
      for (const pair of open) pair.isSilent = true
      return open.size
    },
    close () {
      server.close()
      for (const { sockets } of open) for (const socket of sockets) socket.destroy()
    }
  }
}

await runCase(import.meta.url, async ({ deployment, note, hasTrouble, onEnd }) => {
  const { store, internalPort } = deployment
  const engine = await startWorker({
    id: 'd1',
    service: 'llm',
    stage: 'decode',
    host: '127.0.0.11',
    serve (req, res) {
      res.writeHead(200, { 'X-Request-Id': req.headers['x-request-id'], 'X-Server-Seal': 'seal-d1', 'Content-Type': 'text/event-stream' })
      let sent = 0
      const timer = setInterval(() => {
        res.write(`id: ${++sent}\ndata: piece ${sent}\n\n`)
        if (sent < 20) return
        clearInterval(timer)
        res.end()
      }, 20)
      res.on('close', () => clearInterval(timer))
    }
  })
  const plain = await startWorker({
    id: 'p1',
    service: 'plain',
    host: '127.0.0.21',
    serve (req, res) {
      res.writeHead(200, { 'X-Request-Id': req.headers['x-request-id'], 'X-Server-Seal': 'seal-p1', 'Content-Length': 6 })
      res.end('signed')
    }
  })
  // The sidecar listens behind proxies at the engine's address, at the two internal ports that the gateway connects to.
  const proxies = [await startProxy(internalPort, '127.0.0.11', '127.0.0.12'), await startProxy(internalPort + 1, '127.0.0.11', '127.0.0.12')]
  onEnd(() => { for (const part of [engine, plain, ...proxies]) part.close() })
  store.put('op/config', buildConfiguration(1))
  store.put('servers/d1', engine.entry())
  store.put('servers/p1', plain.entry())
  const gateway = await deployment.startGateway('edge-1', '127.0.0.2')
  deployment.startSidecar('side-1', '127.0.0.12', engine.address, { seeds: [`${gateway.ip}:${gateway.ports.control}`] })
  if (!await until(gateway.ready, 10_000)) throw new Error('the gateway is not ready')
  await sleep(4000)

  const counts = { stream: { asked: 0, served: 0, ends: {} }, plain: { asked: 0, served: 0, ends: {} } }
  const startMs = performance.now()
  const pending = []
  async function send (kind, path, everyMs) {
    for (let n = 1; performance.now() - startMs < dayMs; n++) {
      const id = `${kind}-${n}`
      counts[kind].asked++
      const headers = kind === 'stream' ? generationHeaders(`aa${n}`) : {}
      const atMs = Math.round(performance.now() - startMs)
      pending.push(sendRequest({ host: gateway.ip, port: gateway.ports.front, path, id, headers }).then(({ status, isComplete, error, tookMs }) => {
        const end = error ?? status
        counts[kind].ends[end] = (counts[kind].ends[end] ?? 0) + 1
        if (status === 200 && isComplete) counts[kind].served++
        if (kind === 'stream') note(`${id}, sent at ${atMs} ms: ${end} after ${tookMs} ms`)
      }))
      await sleep(everyMs)
    }
  }
  const sending = [send('stream', '/scan/1', streamEveryMs), send('plain', '/read/1', plainEveryMs)]
  await sleep(silentFromMs)
  if (hasTrouble) for (const proxy of proxies) note(`${proxy.silence()} open connections go silent for good`)
  await Promise.all(sending)
  await Promise.all(pending)
  note(`gateway ready at the end: ${await gateway.ready()}`)
  note(`asked and served: ${JSON.stringify(counts)}`)
  const share = ({ asked, served }) => served / asked
  const all = { asked: counts.stream.asked + counts.plain.asked, served: counts.stream.served + counts.plain.served }
  if (share(counts.stream) >= 0.25 * share(all)) return []
  return [`streams were served in ${(100 * share(counts.stream)).toFixed(0)} of 100 cases, all requests in ${(100 * share(all)).toFixed(0)}`]
})
