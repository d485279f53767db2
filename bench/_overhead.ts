/**
 * Measures how much later the first token arrives through the entry and the agents than with direct calls to the engine stand-ins.
 */
import { request } from 'undici'
import { requestCompletion } from '../testing/caller/mod.ts'
import { deployScenario } from './_deploy_scenario.ts'
import { formatMarkdownTable } from './_table.ts'
import { loadScenario } from './load_scenario.ts'
import { planLoad } from './plan_load.ts'
import type { Bench } from './_deploy_scenario.ts'
import type { PlannedRequest } from './plan_load.ts'

/** Number of requests whose times are discarded. */
const warmupCount = 20

/** Returns the address of the first engine of a role. */
function getEngineAddress (bench: Bench, role: string): string {
  const backend = bench.deployment.layout.backends.find((item) => item.role === role)
  return `127.0.0.1:${backend?.backendPort}`
}

async function post (address: string, path: string, body: object) {
  return await request(`http://${address}${path}`, { method: 'POST', body: JSON.stringify(body), headersTimeout: 0, bodyTimeout: 0 })
}

/** Runs a prefill and a decode at the stand-ins and returns the time in milliseconds to the first token; NaN without one. */
async function measureDirectMs (bench: Bench, planned: PlannedRequest, index: number): Promise<number> {
  const { timer, firm } = bench.deployment
  const startMs = timer.now()
  const commonFields = { request_id: `straight-${index}`, attempt: 1, model: firm.model, version: firm.version, priority: 0 }
  const prefilled = await post(getEngineAddress(bench, 'prefill'), '/v1/prefill', { ...commonFields, prompt: planned.prompt })
  const { handle, kv_address: kvAddress, prompt_tokens: promptTokens } = await prefilled.body.json() as Record<string, unknown>
  const decodeFields = { handle, kv_address: kvAddress, prompt_tokens: promptTokens, max_tokens: 1, start_offset: 0 }
  const res = await post(getEngineAddress(bench, 'decode'), '/v1/decode', { ...commonFields, ...decodeFields })
  let firstMs: number | undefined
  for await (const chunk of res.body) {
    if ((chunk as Buffer).includes('tokens')) firstMs ??= timer.now() - startMs
  }
  return firstMs ?? NaN
}

/** Sends a request through the entry and returns the time in milliseconds to the first token; NaN without one. */
async function measureProxiedMs (bench: Bench, planned: PlannedRequest): Promise<number> {
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

/** Formats the quantile of some values, with a share from 0 to 1. */
function formatQuantile (values: number[], share: number): string {
  const sorted = [...values].sort((a, b) => a - b)
  return (sorted[Math.floor(sorted.length * share)] ?? NaN).toFixed(1)
}

/** Sends about `count` requests for one token, one at a time, alternating between the two ways, and prints the times to that token. */
export async function measureOverhead (name: string, count: number, seed: number): Promise<void> {
  const scenario = { ...await loadScenario(name), prefill: 1, decode: 1 }
  const bench = await deployScenario(scenario)
  const plan = planLoad(scenario.classes, { ratePerS: 1000, durationMs: count + warmupCount, seed })
  const times: { direct: number[], proxied: number[] } = { direct: [], proxied: [] }
  try {
    for (const [i, planned] of plan.entries()) {
      // Each prompt is sent one way only, because a second request for it would hit the prefix cache.
      const isDirect = i % 2 === 0
      const firstMs = isDirect ? await measureDirectMs(bench, planned, i) : await measureProxiedMs(bench, planned)
      if (i >= warmupCount) times[isDirect ? 'direct' : 'proxied'].push(firstMs)
    }
  } finally {
    await bench.deployment.stop()
  }
  const formatRow = (label: string, values: number[]): string[] =>
    [label, String(values.length), formatQuantile(values, 0.5), formatQuantile(values, 0.95)]
  console.log(formatMarkdownTable(['first token, ms', 'requests', 'p50', 'p95'],
    [formatRow('direct calls to the stand-ins', times.direct), formatRow('through entry and agents', times.proxied)]))
}
