/**
 * A small deployment under sound prompts and prompts with one part that crashes engines.
 */
import { buildConfiguration, bounds, engineRule, send, sleep, until } from './rig.mjs'
import { startStore } from './store.mjs'
import { startWorker } from './worker.mjs'

const host = 'llm.example'
const zones = { levis: 'qc-est', rimouski: 'qc-est' }
const stableMs = bounds.stable_window_ms
const calmMs = 8_000
const troubledMs = 50_000

/** The part that crashes an engine as soon as it begins to write an answer. */
export const badPart = 'bad0'

/**
 * Sends sound prompts each `soundMs`, and with the disruption one that crashes an engine each `crashMs`. `buildSound` and `buildBad` return
 * the tokens of a prompt by its parts, for the number of the request.
 *
 * Returns the shares of sound requests that began before, and from twice the stable window after the fifth or last crash on, and the
 * requests with the bad part that were sent later than the stable window after that crash and crashed an engine.
 */
export async function runUnderPrompts ({ rig, record, isTroubled }, { engineCount, isUnframed = false, soundMs, crashMs, outputTokens = 70, buildSound, buildBad }) {
  const store = await startStore({ ip: rig.takeIp(), record })
  rig.onClose(store.close)
  store.put('op/config', buildConfiguration({
    host,
    routes: [{ name: 'r-1', prefix: '/scan/', kind: 'streaming', gap_aim_ms: 300, session_affinity: true, service: 'llm' }],
    services: [{ name: 'llm', health_path: '/health', max_connections: 360, engine: engineRule }]
  }))
  for (let number = 0; number < engineCount; number++) {
    const ip = rig.takeIp()
    const zone = number % 2 === 0 ? 'levis' : 'rimouski'
    const engine = await startWorker({ ip, service: 'llm', zone, stage: number === 0 ? 'prefill' : 'decode', store, record, isUnframed, crashPart: () => badPart })
    rig.onClose(engine.close)
    await rig.startSidecar({ name: `side-${number + 1}`, ip, zone, zones, storeAddress: store.address, app: engine.address })
  }
  const gateway = await rig.startGateway({ name: 'edge-1', ip: rig.takeIp(), zone: 'levis', zones, storeAddress: store.address })
  await until('the gateway is ready', gateway.isReady)
  await sleep(stableMs)

  const sendPrompt = (parts) => {
    const entries = Object.entries(parts)
    const tokens = entries.reduce((sum, [, count]) => sum + count, 0)
    const prompt = entries.map(([part, count]) => `${part}:${count}`).join(',')
    return send(record, gateway.front, {
      path: '/scan/1', host, headers: { 'X-Model': 'm', 'X-Token-Counts': `${tokens},${outputTokens}`, 'X-Length-Hint': String(outputTokens), 'X-Prompt-Prefix': prompt }
    }).result
  }
  const sound = []
  const bad = []
  const timers = [setInterval(() => sound.push(sendPrompt(buildSound(sound.length))), soundMs)]
  await sleep(calmMs)
  const firstBadMs = record.now()
  if (isTroubled) timers.push(setInterval(() => bad.push(sendPrompt(buildBad(bad.length))), crashMs))
  await sleep(troubledMs)
  for (const timer of timers) clearInterval(timer)
  await sleep(3_000)

  const hasBegun = ({ status, body }) => status === 200 && body.length > 0
  const getShare = (list) => list.filter(hasBegun).length / list.length
  const crashes = bad.filter(({ status }) => status === 200).map(({ endMs }) => endMs)
  const fifthMs = crashes[Math.min(4, crashes.length - 1)] ?? firstBadMs
  const before = sound.filter(({ sentMs }) => sentMs < firstBadMs)
  const after = sound.filter(({ sentMs }) => sentMs > fifthMs + 2 * stableMs)
  const late = bad.filter(({ sentMs, status }) => sentMs > fifthMs + stableMs && status === 200)
  const broken = sound.filter(({ status, isComplete, endMs }) => endMs > fifthMs + stableMs && status === 200 && !isComplete)
  record.add(`crashes: ${crashes.length}, the fifth or last at ${Math.round(fifthMs)} ms; ${late.length} requests with the part, sent later than ${stableMs} ms after it, crashed workers; ${broken.length} sound streams were broken off then`)
  record.add(`sound requests that began: ${(100 * getShare(before)).toFixed(0)} % of ${before.length} before, ${(100 * getShare(after)).toFixed(0)} % of ${after.length} from ${2 * stableMs} ms after the fifth or last crash`)
  return { shareBefore: getShare(before), shareAfter: getShare(after), late: late.length }
}
