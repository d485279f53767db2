/**
 * Measures the time that entry and agents add to the first token against calling the stand-ins straight.
 */
import { request } from 'undici'
import { requestCompletion } from '../testing/caller/mod.ts'
import { deployScenario } from './_deploy_scenario.ts'
import { formatMarkdownTable } from './_table.ts'
import { loadScenario } from './load_scenario.ts'
import { planLoad } from './plan_load.ts'
import type { Bench } from './_deploy_scenario.ts'
import type { PlannedRequest } from './plan_load.ts'

const warmupCount = 20

function addressOf (bench: Bench, role: string): string {
  const backend = bench.deployment.layout.backends.find((item) => item.role === role)
  return `127.0.0.1:${backend?.backendPort}`
}

async function post (address: string, path: string, body: object) {
  return await request(`http://${address}${path}`, { method: 'POST', body: JSON.stringify(body), headersTimeout: 0, bodyTimeout: 0 })
}

/** Runs a prefill and a decode at the stand-ins and returns the time in milliseconds to the first token. */
async function straight (bench: Bench, planned: PlannedRequest, number: number): Promise<number> {
  const { timer, firm } = bench.deployment
  const startMs = timer.now()
  const shared = { request_id: `straight-${number}`, attempt: 1, model: firm.model, version: firm.version, priority: 0 }
  const prefilled = await post(addressOf(bench, 'prefill'), '/v1/prefill', { ...shared, prompt: planned.prompt })
  const { handle, kv_address: kvAddress, prompt_tokens: promptTokens } = await prefilled.body.json() as Record<string, unknown>
  const decode = { handle, kv_address: kvAddress, prompt_tokens: promptTokens, max_tokens: 1, start_offset: 0 }
  const res = await post(addressOf(bench, 'decode'), '/v1/decode', { ...shared, ...decode })
  let firstMs: number | undefined
  for await (const chunk of res.body) {
    if ((chunk as Buffer).includes('tokens')) firstMs ??= timer.now() - startMs
  }
  return firstMs ?? NaN
}

async function through (bench: Bench, planned: PlannedRequest): Promise<number> {
  const { timer, firm } = bench.deployment
  const startMs = timer.now()
  let firstMs: number | undefined
  await requestCompletion({
    address: bench.addresses[0] ?? '',
    key: bench.keys.get(planned.caller) ?? '',
    model: firm.model,
    prompt: planned.prompt,
    maxTokens: 1,
    onText: () => { firstMs ??= timer.now() - startMs }
  })
  return firstMs ?? NaN
}

function at (values: number[], share: number): string {
  const sorted = [...values].sort((a, b) => a - b)
  return (sorted[Math.floor(sorted.length * share)] ?? NaN).toFixed(1)
}

/** Sends about `count` requests for one token, one at a time and each way in turn, and prints the times to that token. */
export async function measureOverhead (name: string, count: number, seed: number): Promise<void> {
  const scenario = { ...await loadScenario(name), prefill: 1, decode: 1 }
  const bench = await deployScenario(scenario)
  const plan = planLoad(scenario.classes, { ratePerS: 1000, durationMs: count + warmupCount, seed })
  const times: { straight: number[], through: number[] } = { straight: [], through: [] }
  try {
    for (const [i, planned] of plan.entries()) {
      // Each way first on every other prompt, because the second one finds the prompt in the prefix cache.
      const first = i % 2 === 0
      const a = first ? await straight(bench, planned, i) : await through(bench, planned)
      if (i >= warmupCount) times[first ? 'straight' : 'through'].push(a)
    }
  } finally {
    await bench.deployment.stop()
  }
  const row = (label: string, values: number[]): string[] =>
    [label, String(values.length), at(values, 0.5), at(values, 0.95)]
  console.log(formatMarkdownTable(['first token, ms', 'requests', 'p50', 'p95'],
    [row('straight to the stand-ins', times.straight), row('through entry and agents', times.through)]))
}
