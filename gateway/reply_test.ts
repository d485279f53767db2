/**
 * Steps for responses, with stand-ins for Node's.
 */
import assert from 'node:assert/strict'
import { EventEmitter } from 'node:events'
import { Given, Then, When } from '@cucumber/cucumber'
import { createByteBudget } from '../core/stream/mod.ts'
import { createReply } from './_reply.ts'
import type { ServerResponse } from 'node:http'
import type { ByteBudget } from '../core/stream/mod.ts'

interface World {
  replyBudget: ByteBudget
  sentReplies: Map<number, EventEmitter>
  brokenOff: number[]
}

const head = { status: 200, forwarded: [], isCloseDelimited: false, connection: 1 }

Given('a gateway that may hold {int} bytes', function (this: World, maxBytes: number) {
  this.replyBudget = createByteBudget({ maxBytes })
  this.sentReplies = new Map()
  this.brokenOff = []
})

When('whole responses of {string} bytes are sent that nobody reads', function (this: World, lengths: string) {
  for (const length of lengths.split(', ').map(Number)) {
    const res = Object.assign(new EventEmitter(), { writeHead () {}, end () {}, destroy: () => { this.brokenOff.push(length) } })
    this.sentReplies.set(length, res)
    const reply = createReply(res as unknown as ServerResponse, 'r-1', this.replyBudget)
    reply.sendWhole(head as unknown as Parameters<typeof reply.sendWhole>[0], Buffer.alloc(length))
  }
})

Then('the gateway has broken off the responses of {string} bytes', function (this: World, lengths: string) {
  assert.equal(this.brokenOff.join(', '), lengths)
})

When('the client of the response of {int} bytes has read it', function (this: World, length: number) { this.sentReplies.get(length)?.emit('close') })

Then('the gateway holds {int} bytes', function (this: World, bytes: number) { assert.equal(this.replyBudget.heldBytes(), bytes) })
