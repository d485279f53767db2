/**
 * Steps for gateways that are stopped while requests arrive and run.
 */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { request as httpRequest } from 'node:http'
import { connect } from 'node:net'
import { Given, Then, When } from '@cucumber/cucumber'
import { isReset } from '../exchange/mod.ts'
import { buildConfiguration, startSite } from '../testing/fleuve/mod.ts'
import { send, sleep, until } from './gateway_test.ts'
import type { Socket } from 'node:net'
import type { Site } from '../testing/fleuve/mod.ts'

interface World {
  gatewaySite: Site
  answer: string
  response: { status: number, headers: object, body: string, isComplete: boolean }
  stopping: Promise<void>
}

const longDeadline = { 'X-Request-Deadline-Ms': '20000', 'X-Token-Counts': '100,40' }

async function connectTo (site: Site): Promise<Socket> {
  const [host, port] = (site.settings.clientAddress as string).split(':')
  const socket = connect({ host: host as string, port: Number(port) })
  await once(socket, 'connect')
  return socket
}

function stop (world: World): void {
  world.stopping = world.gatewaySite.gateway.stop().then(() => world.gatewaySite.gateway.close())
}

async function writeRules (world: World, timeoutMs: number): Promise<void> {
  const { routes } = JSON.parse(buildConfiguration(2))
  world.gatewaySite.writeConfiguration(2, { routes: routes.map((route: object) => ({ ...route, timeout_ms: timeoutMs, gap_aim_ms: timeoutMs })) })
  await until(() => world.gatewaySite.readLog().includes('"version":2'), 1000, 'version 2')
}

Given('a gateway site with the plain workers {string} and the engine {string} that stops within {int} ms',
  async function (this: World, ids: string, engine: string, ms: number) {
    // A stopping process exits 400 ms before the end of its grace period, and waits 3000 ms for the load balancer in any case.
    this.gatewaySite = await startSite({ settings: { graceMs: 3000 + ms } })
    this.gatewaySite.writeConfiguration(1)
    for (const id of ids.split(', ')) await this.gatewaySite.addWorker({ id, service: 'plain' })
    await this.gatewaySite.addWorker({ id: engine, service: 'llm', stage: 'decode' })
    await until(() => this.gatewaySite.readLog().includes(`"worker":"${engine}"`), 2000, 'the last worker')
  })

Given('version 2 of the gateway rules with a timeout of {int} ms', async function (this: World, ms: number) { await writeRules(this, ms) })

When('version 2 of the gateway rules has a timeout of {int} ms', async function (this: World, ms: number) { await writeRules(this, ms) })

When('a gateway client sends the head of {string} and the stopping gateway gets its body {int} ms after the stop',
  async function (this: World, line: string, ms: number) {
    const socket = await connectTo(this.gatewaySite)
    this.answer = ''
    socket.on('data', (chunk) => { this.answer += String(chunk) })
    const headers = Object.entries(longDeadline).map(([name, value]) => `${name}: ${value}\r\n`).join('')
    socket.write(`${line} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: slow-1\r\n${headers}Content-Length: 4\r\n\r\nbo`)
    await sleep(100)
    stop(this)
    await sleep(ms)
    socket.write('dy')
    await until(() => this.answer.includes('\r\n\r\n'), 500, 'an answer')
  })

Then('the stopping gateway answers {int} with the reason {string} and a Retry-After header', function (this: World, status: number, reason: string) {
  assert.match(this.answer, new RegExp(`^HTTP/1.1 ${status} `))
  assert.match(this.answer, /retry-after: [\d.]+\r\n/i)
  assert.ok(this.answer.includes(reason), this.answer)
})

Then('a request to the stopping gateway that waits {int} ms gets {int}, and one that waits {int} ms gets {int}',
  async function (this: World, longMs: number, longStatus: number, shortMs: number, shortStatus: number) {
    for (const [ms, status] of [[longMs, longStatus], [shortMs, shortStatus]]) {
      const response = await send(this.gatewaySite, 'POST /unsafe/x', { headers: { 'X-Request-Deadline-Ms': String(ms) } })
      assert.equal(response.status, status, `a deadline of ${ms} ms`)
    }
  })

When('a gateway client sends {string} to the gateway that stops then', async function (this: World, line: string) {
  const pending = send(this.gatewaySite, line, { headers: longDeadline })
  await until(() => [...this.gatewaySite.workers.values()].some((worker) => worker.listRequests().length > 0), 1000, 'the request')
  stop(this)
  // A request whose connection is closed without an answer is shown as one without a status.
  this.response = await pending.catch((err: Error) => ({ status: 0, headers: {}, body: err.message, isComplete: false }))
})

When('a gateway client sends {string}, reads slowly, and the gateway stops', async function (this: World, line: string) {
  const [method, path] = line.split(' ') as [string, string]
  const [host, port] = (this.gatewaySite.settings.clientAddress as string).split(':')
  const headers = { Host: 'a.example', 'X-Request-Id': 'slow-2', ...longDeadline }
  this.response = await new Promise((resolve, reject) => {
    let wasReset = false
    const req = httpRequest({ host, port, method, path, headers, agent: false }, (res) => {
      const response = { status: res.statusCode ?? 0, headers: res.headers, body: '' }
      res.pause()
      stop(this)
      this.stopping.then(() => res.resume(), reject)
      res.on('error', () => {})
      res.on('close', () => resolve({ ...response, isComplete: res.complete && !wasReset }))
    })
    req.on('socket', (socket) => socket.prependListener('end', () => { wasReset = !socket.destroyed && isReset(socket) }))
    req.on('error', reject)
    req.end()
  })
})
