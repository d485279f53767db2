/**
 * Steps for the platform adapters.
 */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { RequestListener, Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { After, Given, Then } from '@cucumber/cucumber'
import { configAdapters, createConfigHttp, createHostListHttp, hostListAdapters } from './mod.ts'

interface World {
  platform?: Server
  url: string
}

const timeoutMs = 200

async function startPlatform (world: World, listener: RequestListener): Promise<void> {
  closePlatform(world)
  world.platform = createServer(listener).listen(0, '127.0.0.1')
  await once(world.platform, 'listening')
  world.url = `http://127.0.0.1:${(world.platform.address() as AddressInfo).port}`
}

function closePlatform (world: World): void {
  world.platform?.closeAllConnections()
  world.platform?.close()
}

After(function (this: World) {
  closePlatform(this)
})

const record = { key: 'tier/t', revision: 4, value: '{}' }
const removed = { key: 'tier/u', revision: 7, value: null }
const host = { name: 'h1', kind: 'agent', address: '127.0.0.1:1', region: 'qc-est', state: 'leaving' }
const responses: Record<string, unknown> = {
  '/v1/records': { revision: 6, changes: [record] },
  '/v1/watch?after=6&wait_ms=50': { revision: 7, changes: [removed] },
  '/v1/hosts': { hosts: [{ ...host, availability_zone: 'levis' }] }
}

Given('a platform that answers with valid records and hosts', function (this: World) {
  return startPlatform(this, (req, res) => { res.end(JSON.stringify(responses[req.url ?? ''])) })
})

Given('a platform that answers {int} with {string}', function (this: World, status: number, body: string) {
  return startPlatform(this, (req, res) => { res.writeHead(status).end(body) })
})

Given('a platform that never answers', function (this: World) {
  return startPlatform(this, () => {})
})

Given('a platform that is down', async function (this: World) {
  closePlatform(this)
})

Then('the platform adapter {string} reads every record and waits for changes after a revision',
  async function (this: World, name: string) {
    const service = configAdapters[name]!({ url: this.url })
    assert.deepEqual((await service.readAll()).unwrap(), { revision: 6, changes: [record] })
    assert.deepEqual((await service.watch(6, 50)).unwrap(), { revision: 7, changes: [removed] })
    await service.close()
  })

Then('the platform adapter {string} reads hosts with their availability zone', async function (this: World, name: string) {
  const hosts = hostListAdapters[name]!({ url: this.url })
  assert.deepEqual((await hosts.read()).unwrap(), [{ ...host, availabilityZone: 'levis' }])
  await hosts.close()
})

Then('the platform adapters return an error that contains {string} with "limited" set to {word}',
  async function (this: World, text: string, limited: string) {
    const service = createConfigHttp({ url: this.url, timeoutMs })
    const hosts = createHostListHttp({ url: this.url, timeoutMs })
    for (const result of [await service.readAll(), await service.watch(1, 10), await hosts.read()]) {
      assert.ok(result.err)
      assert.ok(result.val.message.includes(text), result.val.message)
      assert.equal(result.val.limited, limited === 'true')
    }
    await service.close()
    await hosts.close()
  })
