/**
 * Steps for the connections of clients, written byte by byte.
 */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { sleep, until } from './gateway_test.ts'
import { buildConfiguration } from '../testing/fleuve/mod.ts'
import type { Socket } from 'node:net'
import type { Site } from '../testing/fleuve/mod.ts'

interface RawClient {
  socket: Socket
  received: string
  isEnded: boolean
  wasReset: boolean
}

interface World {
  gatewaySite: Site
  rawClient: RawClient
}

const idleBufferMs = 1_000
const head = 'GET /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: raw-'
const longBody = 'x'.repeat(900)
let nextId = 0

function buildRequest (): string { return `${head}${++nextId}\r\n\r\n` }

/** What a client writes at first, and the rest that it writes later. */
const pieces: { readonly [what: string]: readonly [string, string] } = {
  'no protocol': ['nonsense\r\n\r\n', ''],
  'a large header': [`${head}1\r\nX-Large: ${'x'.repeat(9000)}\r\n\r\n`, ''],
  'the method CONNECT': ['CONNECT a.example:80 HTTP/1.1\r\nHost: a.example\r\n\r\n', ''],
  'half a head': [head, '1\r\n\r\n'],
  'the head of a request without a route': [
    `POST /other/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: raw\r\nContent-Length: ${longBody.length}\r\n\r\n`, longBody
  ],
  'a body that is too large': [
    'POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: raw\r\nContent-Length: 20000\r\n\r\n', longBody.repeat(20)
  ],
  'bytes that are no protocol': ['nonsense\r\n\r\n', 'more nonsense\r\n\r\n']
}

async function openClient (world: World): Promise<RawClient> {
  const [host, port] = (world.gatewaySite.settings.clientAddress as string).split(':')
  const socket = connect({ host: host as string, port: Number(port), noDelay: true, allowHalfOpen: true })
  const client: RawClient = { socket, received: '', isEnded: false, wasReset: false }
  socket.on('data', (chunk) => { client.received += String(chunk) })
  socket.on('end', () => { client.isEnded = true })
  socket.on('error', () => { client.wasReset = true })
  await once(socket, 'connect')
  world.rawClient = client
  return client
}

/** Lists the statuses of the responses received so far. */
function listStatuses ({ received }: RawClient): number[] {
  return [...received.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map((match) => Number(match[1]))
}

/** Calls `fn` and occupies the process, so that timers which become due meanwhile run before sockets are read. */
async function blockProcess (fn: () => void, ms: number): Promise<void> {
  await new Promise<void>((resolve) => {
    setImmediate(() => {
      fn()
      const endMs = performance.now() + ms
      while (performance.now() < endMs) { /* empty */ }
      resolve()
    })
  })
}

When(/^a raw gateway client writes a request and (\d+) ms later (.*?)(, and ends its side)?$/,
  async function (this: World, ms: string, what: string, end: string | null) {
    const { socket } = await openClient(this)
    socket.write(buildRequest())
    await sleep(Number(ms))
    socket.write((pieces[what] as readonly [string, string])[0])
    if (end !== null) socket.end()
  })

When('a raw gateway client writes {int} requests at once', async function (this: World, count: number) {
  const { socket } = await openClient(this)
  socket.write(Array.from({ length: count }, buildRequest).join(''))
})

const bodyHead = 'POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: raw\r\n'

When(/^a raw gateway client writes a head whose body (has a bad chunk|ends in its midst)$/, async function (this: World, what: string) {
  const { socket } = await openClient(this)
  if (what === 'has a bad chunk') socket.write(`${bodyHead}Transfer-Encoding: chunked\r\n\r\nnonsense\r\n`)
  else socket.end(`${bodyHead}Content-Length: 100\r\n\r\nhalf`)
})

Then('the connection of the raw gateway client ends within {int} ms, with the statuses {string}',
  async function (this: World, ms: number, statuses: string) {
    await until(() => this.rawClient.isEnded || this.rawClient.wasReset, ms, 'the end of the connection')
    assert.equal(listStatuses(this.rawClient).join(' '), statuses)
  })

When('a raw gateway client writes half a head', async function (this: World) {
  const { socket } = await openClient(this)
  socket.write((pieces['half a head'] as readonly [string, string])[0])
})

When('the raw gateway client writes the other half', function (this: World) {
  this.rawClient.socket.write((pieces['half a head'] as readonly [string, string])[1])
})

When(/^a raw gateway client writes (.*) and (\d+) ms later the rest, before it reads$/, async function (this: World, what: string, ms: string) {
  const { socket } = await openClient(this)
  const [first, rest] = pieces[what] as readonly [string, string]
  socket.pause()
  socket.write(first)
  await sleep(Number(ms))
  // A write after the connection was closed provokes a reset; the next one meets it.
  for (const half of [rest.slice(0, rest.length / 2), rest.slice(rest.length / 2)]) {
    socket.write(half)
    await sleep(Number(ms))
  }
  socket.resume()
})

Given('a gateway idle limit of {int} ms', async function (this: World, ms: number) { await setIdleLimit(this, 20, ms) })

When(/^the gateway idle limit is (?:raised|lowered) to (\d+) ms$/, async function (this: World, ms: string) { await setIdleLimit(this, 30, Number(ms)) })

When(/^the gateway limit on heads is (raised|lowered) to (\d+) bytes$/, async function (this: World, change: string, bytes: string) {
  await setLimits(this, change === 'raised' ? 20 : 30, { max_header_bytes: Number(bytes) })
})

When('the raw gateway client sends the next request with a head of {int} bytes', function (this: World, bytes: number) {
  this.rawClient.socket.write(`${buildRequest().slice(0, -2)}X-Large: ${'x'.repeat(bytes)}\r\n\r\n`)
})

async function setIdleLimit (world: World, version: number, ms: number): Promise<void> { await setLimits(world, version, { idle_timeout_ms: ms }) }

async function setLimits ({ gatewaySite }: World, version: number, changed: object): Promise<void> {
  const { limits } = JSON.parse(buildConfiguration(version))
  gatewaySite.writeConfiguration(version, { limits: { ...limits, ...changed } })
  await until(() => gatewaySite.readLog().includes(`"version":${version}`), 1000, `version ${version} in force`)
}

When('a raw gateway client sends a request', async function (this: World) {
  const client = await openClient(this)
  client.socket.write(buildRequest())
  await until(() => listStatuses(client).length === 1, 1000, 'the first response')
})

When('the raw gateway client sends the next request', function (this: World) { this.rawClient.socket.write(buildRequest()) })

When('a raw gateway client sends a request, and the next one while the process is stopped across the idle limit', async function (this: World) {
  const client = await openClient(this)
  client.socket.write(buildRequest())
  await until(() => listStatuses(client).length === 1, 1000, 'the first response')
  await sleep(idleBufferMs - 100)
  await blockProcess(() => { client.socket.write(buildRequest()) }, 900)
})

When('a raw gateway client writes half a head, and the rest while the process is stopped across the limit for heads', async function (this: World) {
  const { socket } = await openClient(this)
  const [first, rest] = pieces['half a head'] as readonly [string, string]
  socket.write(first)
  await sleep(100)
  await blockProcess(() => { socket.write(rest) }, 1200)
})

Then(/^the raw gateway client gets (\d+) responses? with (\d+)(?: and the body "(\w+)")? within (\d+) ms$/,
  async function (this: World, count: string, status: string, body: string | null, ms: string) {
    await until(() => listStatuses(this.rawClient).length >= Number(count), Number(ms), `${count} responses`)
    await sleep(100)
    assert.deepEqual(listStatuses(this.rawClient), Array(Number(count)).fill(Number(status)))
    if (body !== null) assert.ok(this.rawClient.received.endsWith(body), this.rawClient.received)
  })

Then('the connection of the raw gateway client ends without a reset', async function (this: World) {
  await until(() => this.rawClient.isEnded || this.rawClient.wasReset, 3000, 'the end of the connection')
  this.rawClient.socket.end()
  await sleep(100)
  assert.equal(this.rawClient.wasReset, false)
})

After(function (this: World) { this.rawClient?.socket.destroy() })
