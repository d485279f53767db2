/**
 * Workers send streams without a length, which end with their connection, as the news page allows. The gateway is killed while it passes
 * some of them on. No client may take what it has got by then for the whole stream.
 */
import { buildConfiguration, generationHeaders, sendRequest, sleep, startWorker, until } from '../lib/deployment.mjs'
import { runCase } from '../lib/run_case.mjs'

const streams = 6
const events = 30
const eventMs = 100
const killAfterMs = 1500

const buildEvent = (id) => `id: ${id}\ndata: piece ${id} of ${events}\n\n`
const wholeBody = Array.from({ length: events }, (_, i) => buildEvent(i + 1)).join('')

/** `TROUBLE=0` leaves the disruption out. */
const options = { recordFile: new URL('record.txt', import.meta.url), hasTrouble: process.env.TROUBLE !== '0' }

await runCase(options, async ({ deployment, note, hasTrouble, onEnd }) => {
  const engine = await startWorker({
    id: 'd1',
    service: 'llm',
    stage: 'decode',
    host: '127.0.0.11',
    serve (req, res) {
      const { socket } = req
      const id = req.headers['x-request-id']
      note(`worker runs ${id}`)
      socket.write(['HTTP/1.1 200 OK', `X-Request-Id: ${id}`, `X-Server-Seal: seal-${id}`, 'Content-Type: text/event-stream', 'Connection: close', '', ''].join('\r\n'))
      let sent = 0
      const timer = setInterval(() => {
        socket.write(buildEvent(++sent))
        if (sent < events) return
        clearInterval(timer)
        socket.end()
      }, eventMs)
      socket.on('close', () => {
        clearInterval(timer)
        res.destroy()
        note(`worker has sent ${sent} of ${events} events of ${id}`)
      })
    }
  })
  onEnd(() => engine.close())
  deployment.store.put('op/config', buildConfiguration(1))
  deployment.store.put('servers/d1', engine.entry())
  const gateway = await deployment.startGateway('edge-1', '127.0.0.2')
  deployment.startSidecar('side-1', '127.0.0.11', engine.address, { seeds: [`${gateway.ip}:${gateway.ports.control}`] })
  if (!await until(gateway.ready, 10_000)) throw new Error('the gateway is not ready')
  await sleep(6000)

  const answers = Array.from({ length: streams }, (_, i) => {
    note(`client sends s${i + 1}`)
    return sendRequest({ host: gateway.ip, port: gateway.ports.front, path: '/scan/1', id: `s${i + 1}`, headers: generationHeaders(`aa0${i}`) })
  })
  await sleep(killAfterMs)
  if (hasTrouble) {
    gateway.child.kill('SIGKILL')
    note(`gateway ${gateway.pid} killed`)
  }
  const breaches = []
  for (const { id, status, headers, body, isComplete, error, tookMs } of await Promise.all(answers)) {
    const got = body.split('\n\n').length - 1
    note(`client has ${id}: status ${status}, seal ${headers['x-server-seal']}, ${got} of ${events} events, ended ${error ?? (isComplete ? 'as complete' : 'early')} after ${tookMs} ms`)
    const looksWhole = status === 200 && isComplete && error === undefined && body.endsWith('\n\n')
    if (looksWhole && body !== wholeBody) breaches.push(`${id} ended as complete after event ${got} of ${events}`)
  }
  return breaches
})
