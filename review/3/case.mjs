/**
 * Half of the processes are killed at the same moment while a release replaces a plain worker: the three gateways that the settings name as
 * seeds, and the one sidecar that reads the store for the region of the fourth gateway. All are back half a second later. The old worker's
 * entry is removed meanwhile. The fourth gateway, which nothing has happened to, must stop sending to that worker.
 */
import { buildConfiguration, findFreePort, sendRequest, sleep, startWorker, until } from '../lib/deployment.mjs'
import { runCase } from '../lib/run_case.mjs'

const rounds = 5
const drainMs = 2500
const inTouchMs = 4000
const restartMs = 500
/** Time that a plain worker takes for an answer, and the requests that it runs at once, so that each worker gets some. */
const workMs = 60
const slots = 2
const everyMs = 20

/** `TROUBLE=0` leaves the disruption out. */
const options = { recordFile: new URL('record.txt', import.meta.url), hasTrouble: process.env.TROUBLE !== '0' }

await runCase(options, async ({ deployment, note, hasTrouble, onEnd }) => {
  const { store } = deployment
  /** Arrivals by worker: time and request id. */
  const arrivals = new Map()

  async function addWorker (id, host) {
    arrivals.set(id, [])
    const worker = await startWorker({
      id,
      service: 'plain',
      host,
      zone: 'gatineau',
      serve (req, res) {
        arrivals.get(id).push({ atMs: performance.now(), request: req.headers['x-request-id'] })
        setTimeout(() => {
          res.writeHead(200, { 'X-Request-Id': req.headers['x-request-id'], 'X-Server-Seal': `seal-${id}`, 'Content-Length': 6 })
          res.end('signed')
        }, workMs)
      }
    })
    onEnd(() => worker.close())
    store.put(`servers/${id}`, worker.entry({ slots }))
    note(`store accepted: servers/${id} at ${worker.address}`)
  }

  // Three gateways and three engines with their sidecars in one region, one of each in the other, as on the site in small.
  store.put('op/config', buildConfiguration(1))
  const engines = []
  for (const [i, zone] of ['levis', 'levis', 'levis', 'gatineau'].entries()) {
    const engine = await startWorker({
      id: `d${i + 1}`, service: 'llm', stage: i === 0 ? 'prefill' : 'decode', host: `127.0.0.${11 + i}`, zone, serve: (_req, res) => res.destroy()
    })
    onEnd(() => engine.close())
    store.put(`servers/d${i + 1}`, engine.entry())
    engines.push(engine)
  }
  await addWorker('q0', '127.0.0.19')
  await addWorker('p0', '127.0.0.20')
  const ports = { front: await findFreePort('127.0.0.5'), ready: await findFreePort('127.0.0.5'), control: await findFreePort('127.0.0.5') }
  const seeds = [2, 3, 4].map((host) => `127.0.0.${host}:${ports.control}`)
  const zoneOf = (i) => i < 3 ? 'levis' : 'gatineau'
  const startGateway = (i) => deployment.startGateway(`edge-${i + 1}`, `127.0.0.${2 + i}`, { ports, zone: zoneOf(i), seeds })
  const startSidecar = (i) => deployment.startSidecar(`side-${i + 1}`, `127.0.0.${11 + i}`, engines[i].address, { zone: zoneOf(i), seeds })
  const gateways = await Promise.all([0, 1, 2, 3].map(startGateway))
  const sidecars = [0, 1, 2, 3].map(startSidecar)
  const observed = gateways[3]
  for (const gateway of gateways) if (!await until(gateway.ready, 10_000)) throw new Error(`${gateway.name} is not ready`)
  await sleep(inTouchMs + 2000)

  const state = { isOver: false }
  let sent = 0
  const answered = {}
  const load = (async () => {
    while (!state.isOver) {
      sendRequest({ host: observed.ip, port: ports.front, path: '/sign/1', id: `r${++sent}`, deadlineMs: 4000 })
        .then(({ status, error }) => { answered[status || error] = (answered[status || error] ?? 0) + 1 })
      await sleep(everyMs)
    }
  })()

  const breaches = []
  for (let round = 1; round <= rounds; round++) {
    const leaving = `p${round - 1}`
    await addWorker(`p${round}`, `127.0.0.${20 + round}`)
    await sleep(100)
    const killed = [...gateways.slice(0, 3), sidecars[3]]
    const killMs = performance.now()
    if (hasTrouble) {
      for (const { child } of killed) child.kill('SIGKILL')
      await Promise.all(killed.map(({ exit }) => exit))
      note(`killed: ${killed.map(({ name }) => name).join(' ')}, four of eight processes`)
    }
    await sleep(200)
    store.remove(`servers/${leaving}`)
    const goneMs = performance.now()
    note(`store accepted: servers/${leaving} removed`)
    await sleep(Math.max(0, restartMs - (performance.now() - killMs)))
    if (hasTrouble) {
      for (const i of [0, 1, 2]) gateways[i] = await startGateway(i)
      sidecars[3] = startSidecar(3)
      note('all are started again')
    }
    await sleep(inTouchMs + 2500)
    const late = arrivals.get(leaving).filter(({ atMs }) => atMs > goneMs + drainMs)
    note(`${leaving}: ${arrivals.get(leaving).length} requests ran, ${late.length} of them reached it later than ${drainMs} ms after its removal`)
    const last = late.at(-1)
    if (last !== undefined) {
      breaches.push(`${late.length} requests reached ${leaving} too late, the last (${last.request}) ${Math.round(last.atMs - goneMs)} ms after its removal`)
    }
  }
  state.isOver = true
  await load
  await sleep(500)
  note(`requests sent to ${observed.name}: ${sent}; answers by status: ${JSON.stringify(answered)}`)
  return breaches
})
