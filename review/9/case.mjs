/**
 * The engine that writes the streams of one software version crashes, while two others of that version serve: its streams do not go on.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { buildConfiguration, engineRule, runCase, send, sleep, until } from '../lib-2/rig.mjs'
import { startStore } from '../lib-2/store.mjs'
import { startWorker } from '../lib-2/worker.mjs'

const host = 'llm.example'
const zones = { levis: 'qc-est', rimouski: 'qc-est' }
const stableMs = 4_000
const deadlineMs = 14_000
const streams = 126
/** Number of times that a client takes its stream up, each after the time that the answer before names, up to a third of what it has left. */
const tries = 3

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ rig, record, isTroubled }) => {
  const store = await startStore({ ip: rig.takeIp(), record })
  rig.onClose(store.close)
  store.put('op/config', buildConfiguration({
    host,
    routes: [{ name: 'r-1', prefix: '/avis/', kind: 'streaming', gap_aim_ms: 300, max_attempts: 2, allow_resume: true, session_affinity: true, service: 'llm' }],
    services: [{ name: 'llm', health_path: '/health', max_connections: 360, engine: { ...engineRule, stage_switch_s: 6 } }]
  }))
  // Two engines prefill and seven write. Of version v1 are the two that prefill and one that writes, of version v2 the other six.
  const engines = []
  for (let number = 0; number < 9; number++) {
    const ip = rig.takeIp()
    const zone = number % 2 === 0 ? 'levis' : 'rimouski'
    const engine = await startWorker({
      ip, service: 'llm', zone, stage: number < 2 ? 'prefill' : 'decode', version: number < 3 ? 'v1' : 'v2', store, record, stepMs: 10, stride: 10, stageSwitchMs: 6_000
    })
    rig.onClose(engine.close)
    engines.push(engine)
    await rig.startSidecar({ name: `side-${number + 1}`, ip, zone, zones, storeAddress: store.address, app: engine.address })
  }
  const gateways = []
  for (const [index, zone] of ['levis', 'rimouski'].entries()) {
    gateways.push(await rig.startGateway({ name: `edge-${index + 1}`, ip: rig.takeIp(), zone, zones, storeAddress: store.address }))
  }
  await until('the gateways are ready', async () => (await Promise.all(gateways.map(({ isReady }) => isReady()))).every(Boolean))
  await sleep(stableMs + 1_000)
  record.add(`stages: ${engines.map(({ id, stage }) => `${id} ${stage()}`).join(', ')}`)

  /** Sends a stream, and takes it up after a break, as clients do. */
  const follow = async (index) => {
    const startMs = record.now()
    const headers = { 'X-Model': 'm', 'X-Token-Counts': '400,800', 'X-Length-Hint': '800', 'X-Prompt-Prefix': `5a00:200,${(10_000 + index).toString(16)}:200` }
    const first = await send(record, gateways[index % 2].front, { path: '/avis/1', host, headers, deadlineMs })
    const pieces = first.body.split('\n\n').slice(0, -1)
    const began = { id: first.id, seal: first.seal, began: pieces.length > 0, isBroken: !first.isComplete, sentMs: first.sentMs, takenUp: 0, goesOn: false }
    if (!began.began || first.isComplete) return began
    const lastId = /^id: (\d+)/m.exec(pieces.at(-1))[1]
    for (let attempt = 0; attempt < tries; attempt++) {
      const leftMs = startMs + deadlineMs - record.now()
      if (leftMs < 500) break
      began.takenUp++
      const again = await send(record, gateways[(index + attempt + 1) % 2].front, {
        path: '/avis/1', host, headers: { ...headers, 'Last-Event-Id': lastId, Resumes: first.id }, deadlineMs: Math.floor(leftMs)
      })
      if (again.status === 200 && again.body.includes('id: ')) {
        began.goesOn = true
        return began
      }
      if (again.status !== 503) break
      await sleep(Math.min(Number(again.retryAfter ?? 0.2) * 1000, leftMs / 3))
    }
    return began
  }

  const all = []
  for (let index = 0; index < streams; index++) {
    all.push(follow(index))
    await sleep(12)
  }
  await sleep(1_500)
  const crashMs = record.now()
  if (isTroubled) {
    record.add(`worker ${engines[2].id}: crashes, and does not come back`)
    engines[2].crashNow(100_000)
  }
  // New streams, while those that were broken off are taken up.
  for (let index = 0; index < 40; index++) {
    all.push(follow(streams + index))
    await sleep(100)
  }
  const ended = await Promise.all(all)
  const serving = engines.filter(({ isUp }, index) => index < 3 && isUp()).length
  const takenUp = ended.filter((stream) => stream.takenUp > 0 && stream.seal === `seal-${engines[2].id}`)
  const goOn = takenUp.filter((stream) => stream.goesOn)
  const fresh = ended.filter((stream) => stream.sentMs > crashMs)
  const began = fresh.filter((stream) => stream.began)
  record.add(`workers of version v1 that serve after the crash: ${serving}, with the stages ${engines.slice(0, 2).map(({ stage }) => stage()).join(', ')}`)
  record.add(`streams of ${engines[2].id} that clients took up: ${takenUp.length}, of which ${goOn.length} went on; of ${fresh.length} new streams, ${began.length} began`)
  return takenUp.length >= 12 && serving >= 2 && goOn.length / takenUp.length < began.length / fresh.length / 2
})
