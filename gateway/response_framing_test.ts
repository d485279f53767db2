/**
 * Steps for the framing of responses, read from raw connections.
 */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect } from 'node:net'
import { Then, When } from '@cucumber/cucumber'
import { isReset } from '../exchange/mod.ts'
import { send } from './gateway_test.ts'
import type { Site } from '../testing/fleuve/mod.ts'

interface World {
  gatewaySite: Site
  rawHead: string
  rawBody: Buffer
  hasEnded: boolean
  wasReset: boolean
  broken: { body: string, isComplete: boolean }
}

const lastChunk = '\r\n0\r\n\r\n'
const quietMs = 200

When('a gateway client of HTTP\\/{word} reads the response to {string}', async function (this: World, version: string, line: string) {
  const [host, port] = (this.gatewaySite.settings.clientAddress as string).split(':')
  const socket = connect({ host: host as string, port: Number(port) })
  const chunks: Buffer[] = []
  this.hasEnded = false
  socket.on('end', () => { this.hasEnded = true })
  await once(socket, 'connect')
  socket.write(`${line} HTTP/${version}\r\nHost: a.example\r\nX-Request-Id: raw-1\r\nX-Request-Deadline-Ms: 600\r\nContent-Length: 0\r\n\r\n`)
  await new Promise<void>((resolve) => {
    let quiet = setTimeout(resolve, 1000)
    socket.on('data', (chunk) => {
      chunks.push(chunk)
      clearTimeout(quiet)
      quiet = setTimeout(resolve, quietMs)
    })
  })
  socket.destroy()
  const all = Buffer.concat(chunks)
  const at = all.indexOf('\r\n\r\n')
  this.rawHead = all.subarray(0, at).toString().toLowerCase()
  this.rawBody = all.subarray(at + 4)
})

When('a gateway client of HTTP\\/{word} reads the response to {string} until its connection ends', async function (this: World, version: string, line: string) {
  const [host, port] = (this.gatewaySite.settings.clientAddress as string).split(':')
  const socket = connect({ host: host as string, port: Number(port) })
  this.wasReset = false
  socket.on('error', (err: NodeJS.ErrnoException) => { this.wasReset ||= err.code === 'ECONNRESET' })
  socket.on('end', () => { this.wasReset ||= isReset(socket) })
  socket.resume()
  // `once` of node:events would reject for the error that a reset may come as.
  const closed = new Promise<void>((resolve) => socket.once('close', () => resolve()))
  socket.write(`${line} HTTP/${version}\r\nHost: a.example\r\nX-Request-Id: raw-1\r\nX-Request-Deadline-Ms: 600\r\nContent-Length: 0\r\n\r\n`)
  await closed
})

Then('the raw gateway response has ended with a reset', function (this: World) { assert.ok(this.wasReset) })

Then('the raw gateway response has {string}, ends with the last chunk, and keeps its connection', function (this: World, field: string) {
  assert.ok(this.rawHead.includes(field), this.rawHead)
  assert.equal(this.rawBody.subarray(-lastChunk.length).toString(), lastChunk)
  assert.equal(this.hasEnded, false)
})

Then('the raw gateway response has no framing and {int} bytes', function (this: World, bytes: number) {
  assert.doesNotMatch(this.rawHead, /transfer-encoding|content-length/)
  assert.equal(this.rawBody.length, bytes)
  assert.equal(this.hasEnded, true)
})

Then('the raw gateway response has {string} and {int} bytes', function (this: World, field: string, bytes: number) {
  assert.ok(this.rawHead.includes(field), this.rawHead)
  assert.equal(this.rawBody.length, bytes)
})

When('a gateway client sends {string} and its response breaks off', async function (this: World, line: string) {
  this.broken = await send(this.gatewaySite, line)
})

Then('the gateway client has got at most {int} bytes, all of one worker', function (this: World, bytes: number) {
  assert.equal(this.broken.isComplete, false)
  assert.ok(this.broken.body.length <= bytes && /^x*$/.test(this.broken.body), `${this.broken.body.length} bytes, the last ones "${this.broken.body.slice(-20)}"`)
})
