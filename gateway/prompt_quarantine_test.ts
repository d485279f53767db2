/**
 * Steps for the quarantine of prompts at the gateway.
 */
import assert from 'node:assert/strict'
import { PassThrough } from 'node:stream'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { StagePolicy } from '../core/balance/mod.ts'
import { PackPolicy } from '../core/packing/mod.ts'
import { createLog } from '../log/mod.ts'
import { startSidecar } from '../sidecar/mod.ts'
import { startSite } from '../testing/fleuve/mod.ts'
import { createSystemTimer } from '../timer/mod.ts'
import { send, sleep, until } from './gateway_test.ts'
import type { FakeWorker, Site } from '../testing/fleuve/mod.ts'
import type { Sidecar } from '../sidecar/mod.ts'
import type { Timer } from '../timer/mod.ts'

type Response = Awaited<ReturnType<typeof send>>

interface World {
  gatewaySite: Site
  responses: Response[]
  soundResponses: Response[]
  engineSidecar?: Sidecar
  engineTimer?: Timer
  secondSite?: Site
  lateSite?: Site
}

After(async function (this: World) {
  await this.engineSidecar?.close()
  this.engineTimer?.close()
  await this.secondSite?.close()
  await this.lateSite?.close()
})

function decodeEngines (site: Site): FakeWorker[] {
  return [...site.workers.values()].filter(({ id }) => id.startsWith('d'))
}

function restart (site: Site, engine: FakeWorker): () => void {
  return () => site.store.put(`servers/${engine.id}`, engine.buildEntry())
}

function crashUnder (site: Site, part: string, endsCleanly: boolean): void {
  for (const engine of decodeEngines(site)) engine.setPromptCrash({ part, endsCleanly, onRestart: restart(site, engine) })
}

async function generate (site: Site, path: string, parts: string): Promise<Response> {
  const prefix = [...parts.split(' '), 'own'].map((part) => `${part}:30`).join(',')
  return await send(site, `POST ${path}`, {
    headers: {
      'X-Model': 'm', 'X-Token-Counts': '100,40', 'X-Length-Hint': '30', 'X-Request-Deadline-Ms': '3000', 'X-Prompt-Prefix': prefix
    },
    chunks: ['prompt']
  })
}

function countDecodes (site: Site, part: string): number {
  return [...site.workers.values()].flatMap((worker) => worker.listRequests())
    .filter(({ headers }) => headers['x-stage'] !== 'prefill' && String(headers['x-prompt-prefix']).includes(`${part}:`)).length
}

Given('gateway engines that crash under the part {string}', function (this: World, part: string) {
  crashUnder(this.gatewaySite, part, false)
})

Given('gateway engines that crash under the part {string} and end their answer cleanly', function (this: World, part: string) {
  crashUnder(this.gatewaySite, part, true)
})

Given('gateway engines that crash under every second prompt', function (this: World) {
  const site = this.gatewaySite
  let crashes = true
  const setAll = (): void => {
    for (const engine of decodeEngines(site)) engine.setPromptCrash(crashes ? { part: '*', endsCleanly: false, onRestart: restart(site, engine) } : undefined)
  }
  let decodes = 0
  setAll()
  const watch = setInterval(() => {
    const seen = countDecodes(site, 'system')
    if (seen === decodes) return
    decodes = seen
    crashes = !crashes
    setAll()
  }, 5)
  watch.unref()
})

When('a gateway client requests {int} generations on {string} with the parts {string}, {int} ms apart',
  async function (this: World, count: number, path: string, parts: string, gapMs: number) {
    this.responses = []
    for (let i = 0; i < count; i++) {
      this.responses.push(await generate(this.gatewaySite, path, parts))
      await sleep(gapMs)
    }
  })

When('a gateway client requests {int} generations on {string} with the parts {string}, {int} ms apart, each after one with the parts {string} and one with {string}',
  async function (this: World, count: number, path: string, parts: string, gapMs: number, sound: string, otherSound: string) {
    this.soundResponses = []
    for (let i = 0; i < count; i++) {
      for (const kind of [sound, otherSound]) this.soundResponses.push(await generate(this.gatewaySite, path, kind))
      await generate(this.gatewaySite, path, parts)
      await sleep(gapMs)
    }
  })

function listShared (count: number): string {
  return Array.from({ length: count }, (_, i) => (0xa000 + i).toString(16)).join(' ')
}

When('a gateway client requests {int} generations on {string} with {int} shared parts and the part {string}, each after one without it',
  async function (this: World, count: number, path: string, shared: number, part: string) {
    this.soundResponses = []
    for (let i = 0; i < count; i++) {
      this.soundResponses.push(await generate(this.gatewaySite, path, listShared(shared)))
      await generate(this.gatewaySite, path, `${listShared(shared)} ${part}`)
      // Crashes nearer than 200 ms count as one.
      await sleep(250)
    }
  })

Then('the second gateway holds back a generation with {int} shared parts and the part {string}', async function (this: World, shared: number, part: string) {
  await assertHeldBack(this.secondSite as Site, `${listShared(shared)} ${part}`)
})

Then('the second gateway serves a generation with {int} shared parts', async function (this: World, shared: number) {
  assert.equal((await generate(this.secondSite as Site, '/stream/x', listShared(shared))).status, 200)
})

Given('a sidecar of the gateway engines', async function (this: World) {
  const engine = decodeEngines(this.gatewaySite)[0] as FakeWorker
  const settings = { ...this.gatewaySite.settings, machine: 'side-1', workerAddress: engine.address }
  this.engineTimer = createSystemTimer()
  const log = createLog({ name: 'side-1', level: 'info', stream: new PassThrough().resume() })
  this.engineSidecar = await startSidecar({
    settings,
    timer: this.engineTimer,
    log,
    random: Math.random,
    stages: { policy: StagePolicy.Keep, prefillShare: 0.2 },
    packing: { policy: PackPolicy.Likely, marginShare: 0.1 }
  })
})

async function startGatewayBeside (site: Site, machine: string): Promise<Site> {
  const { storeAddress, internalPort } = site.settings
  const other = await startSite({ settings: { storeAddress, internalPort, machine } })
  await until(() => other.readLog().includes('sidecar connected'), 3000, 'a connection to the sidecar')
  return other
}

Given('a second gateway beside the first', async function (this: World) {
  this.secondSite = await startGatewayBeside(this.gatewaySite, 'edge-2')
  await until(() => this.gatewaySite.readLog().includes('sidecar connected'), 3000, 'a connection to the sidecar')
})

async function assertHeldBack (site: Site, parts: string): Promise<void> {
  const response = await generate(site, '/stream/x', parts)
  assert.equal(response.status, 503)
  assert.match(response.body, /prompt_quarantined/)
}

Then('the second gateway holds back a generation with the parts {string}', async function (this: World, parts: string) {
  await assertHeldBack(this.secondSite as Site, parts)
})

Then('a gateway that starts now holds back a generation with the parts {string}', async function (this: World, parts: string) {
  this.lateSite = await startGatewayBeside(this.gatewaySite, 'edge-3')
  await assertHeldBack(this.lateSite, parts)
})

Then('the second gateway serves a generation with the parts {string}', async function (this: World, parts: string) {
  assert.equal((await generate(this.secondSite as Site, '/stream/x', parts)).status, 200)
})

Then('the gateway engines saw {int} decodes with the part {string}', function (this: World, count: number, part: string) {
  assert.equal(countDecodes(this.gatewaySite, part), count)
})

Then('the gateway engines saw at most {int} decodes with the part {string}', function (this: World, most: number, part: string) {
  const count = countDecodes(this.gatewaySite, part)
  assert.ok(count >= 3 && count <= most, `${count} decodes`)
})

Then('{int} of the gateway responses have the status {int} and a Retry-After header above {int} s', function (this: World, count: number, status: number, seconds: number) {
  assert.equal(this.responses.filter((res) => res.status === status && Number(res.headers['retry-after']) > seconds).length, count)
})

Then('the last {int} sound responses of the gateway have the status {int}', function (this: World, count: number, status: number) {
  assert.deepEqual(this.soundResponses.slice(-count).map((res) => res.status), Array(count).fill(status))
})

Then('no gateway response was held back', function (this: World) {
  assert.deepEqual(this.responses.filter((res) => res.body.includes('prompt_quarantined')), [])
  assert.ok(this.responses.some((res) => res.status === 200 && res.isComplete), 'no generation was served')
})
