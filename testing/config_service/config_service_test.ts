/**
 * Steps for the stand-in for the configuration service.
 */
import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { request } from 'undici'
import { createSystemTimer } from '../../timer/mod.ts'
import type { Timer } from '../../timer/mod.ts'
import { FaultKind } from '../faults/mod.ts'
import { startConfigService } from './mod.ts'
import type { ConfigServiceStandIn } from './mod.ts'

interface World {
  config: ConfigServiceStandIn
  configTimer: Timer
  statuses: number[]
  revision: number
  elapsedMs: number
}

interface Page {
  revision: number
}

async function startWithRecord (world: World, readsPerS?: number): Promise<void> {
  world.configTimer = createSystemTimer()
  world.config = await startConfigService({ readsPerS })
  world.config.writeRecord('tier/or', '{"schema":1}')
}

async function read (world: World): Promise<{ status: number, revision: number }> {
  const res = await request(`http://${world.config.address}/v1/records`)
  const page = await res.body.json() as Page
  return { status: res.statusCode, revision: page.revision }
}

After(async function (this: Partial<World>) {
  await this.config?.close()
  this.configTimer?.close()
})

Given('a config stand-in with a record at revision 1', async function (this: World) {
  await startWithRecord(this)
})

Given('a config stand-in that allows {int} reads per second', async function (this: World, readsPerS: number) {
  await startWithRecord(this, readsPerS)
})

When('a config stand-in watch waits {int} ms and the record changes after {int} ms',
  async function (this: World, waitMs: number, changeMs: number) {
    this.configTimer.after(changeMs, () => this.config.writeRecord('tier/or', '{"schema":1,"a":1}'))
    const startMs = this.configTimer.now()
    const res = await request(`http://${this.config.address}/v1/watch?after=1&wait_ms=${waitMs}`)
    this.revision = (await res.body.json() as Page).revision
    this.elapsedMs = this.configTimer.now() - startMs
  })

Then('the config stand-in watch returns revision {int} within {int} ms',
  function (this: World, revision: number, limitMs: number) {
    assert.equal(this.revision, revision)
    assert.ok(this.elapsedMs < limitMs, `the watch took ${this.elapsedMs} ms`)
  })

When('{int} operators write the config stand-in record on the condition of revision {int}',
  async function (this: World, count: number, revision: number) {
    const writes = Array.from({ length: count }, () => request(`http://${this.config.address}/v1/records/tier/or`, {
      method: 'PUT',
      headers: { 'if-revision': String(revision) },
      body: '{"schema":1}'
    }))
    const responses = await Promise.all(writes)
    this.statuses = responses.map((res) => res.statusCode)
    await Promise.all(responses.map((res) => res.body.dump()))
  })

Then('the config stand-in responds with 200 once and with 409 once', function (this: World) {
  assert.deepEqual(this.statuses.toSorted(), [200, 409])
})

When('the config stand-in is stale and the record changes', function (this: World) {
  this.config.gate.setFault(FaultKind.Stale, 0)
  this.config.writeRecord('tier/or', '{"schema":1,"a":1}')
})

Then('a config stand-in read returns revision {int}, and revision {int} once the fault is cleared',
  async function (this: World, stale: number, fresh: number) {
    assert.equal((await read(this)).revision, stale)
    this.config.gate.setFault(FaultKind.Clear, 0)
    assert.equal((await read(this)).revision, fresh)
  })

When('{int} config stand-in reads arrive at once', async function (this: World, count: number) {
  const reads = await Promise.all(Array.from({ length: count }, () => read(this)))
  this.statuses = reads.map((response) => response.status)
})

Then('the config stand-in refused {int} of them', function (this: World, count: number) {
  assert.equal(this.statuses.filter((status) => status === 429).length, count)
})
