/**
 * Steps for the connections of callers, written byte by byte.
 */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect } from 'node:net'
import { PassThrough } from 'node:stream'
import { setTimeout as sleep } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createLog } from '../log/mod.ts'
import { createSystemTimer } from '../timer/mod.ts'
import { divideEntry } from './_divide_entry.ts'
import { readBody, startHttpServer } from './_http_server.ts'
import { sendRefusal } from './_refusals.ts'
import type { Socket } from 'node:net'
import type { Timer } from '../timer/mod.ts'
import type { HttpRoute, HttpServer } from './_http_server.ts'

interface World {
  entryServer: HttpServer
  entryTimer: Timer
  callerText: string
}

const slowMs = 200
const maxBytes = 1_000
const waitMs = 600

const routes: HttpRoute[] = [
  { method: 'GET', path: '/slow', async handle ({ res }) { await sleep(slowMs); res.end('done') } },
  { method: 'GET', path: '/failing', async handle () { throw new Error('failed') } },
  {
    method: 'POST',
    path: '/body',
    async handle ({ req, res, bodies }) {
      const body = await readBody(bodies, { req, res }, maxBytes)
      if (body.err) sendRefusal(res, body.val)
      else res.end()
    }
  }
]

async function open (world: World): Promise<Socket> {
  const [host, port] = world.entryServer.address.split(':') as [string, string]
  const socket = connect({ host, port: Number(port), allowHalfOpen: true })
  world.callerText = ''
  socket.on('error', () => {})
  await once(socket, 'connect')
  return socket
}

/** Reads until the connection ends, or for a while. */
async function readAll (world: World, socket: Socket): Promise<void> {
  socket.on('data', (chunk) => { world.callerText += String(chunk) })
  socket.resume()
  await sleep(waitMs)
  socket.destroy()
}

Given('an entry server with a slow route and one that fails', async function (this: World) {
  this.entryTimer = createSystemTimer()
  const stream = new PassThrough()
  stream.resume()
  const started = await startHttpServer({
    host: '127.0.0.1',
    port: 0,
    routes,
    maxHeaderBytes: 8_192,
    ...divideEntry(100),
    nextRequestId: () => 'entry-1',
    timer: this.entryTimer,
    log: createLog({ name: 'entry-1', level: 'info', stream }),
    onHandlerError () {}
  })
  this.entryServer = started.unwrap()
})

When('a caller of the entry server writes {string} and then {string} on one connection', async function (this: World, line: string, next: string) {
  const socket = await open(this)
  socket.write(`${line} HTTP/1.1\r\nHost: entry\r\n\r\n`)
  await sleep(slowMs / 4)
  if (next !== '') socket.write(`${next}\r\n\r\n`)
  await readAll(this, socket)
})

When('a caller of the entry server sends a body that is too large, and reads only afterwards', async function (this: World) {
  const socket = await open(this)
  socket.pause()
  socket.write(`POST /body HTTP/1.1\r\nHost: entry\r\nContent-Length: ${4 * maxBytes}\r\n\r\n`)
  for (let sent = 0; sent < 4; sent++) {
    socket.write('x'.repeat(maxBytes))
    await sleep(slowMs / 4)
  }
  await readAll(this, socket)
})

Then('the caller of the entry server gets the statuses {string}', function (this: World, statuses: string) {
  assert.equal([...this.callerText.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map((match) => match[1]).join(' '), statuses)
})

After(function (this: World) {
  this.entryServer?.closeNow()
  this.entryServer?.close()
  this.entryTimer?.close()
})
