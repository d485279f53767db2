/**
 * Steps for connections to sidecars that stay open and carry nothing.
 */
import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { send, sleep, until } from './gateway_test.ts'
import { listen, MessageKind } from '../wire/mod.ts'
import type { Site } from '../testing/fleuve/mod.ts'
import type { Connection, Listener } from '../wire/mod.ts'

interface World {
  gatewaySite: Site
  silentSidecar?: Listener
  generations: Array<{ atMs: number, status: number }>
}

const headers = { 'X-Model': 'm', 'X-Token-Counts': '100,40', 'X-Request-Deadline-Ms': '3000' }
const reportMs = 200

Given(/^a sidecar of the gateway engines whose first connection comes to (carry nothing|carry nothing towards it)$/, async function (this: World, what: string) {
  let first: Connection | undefined
  const listener = await listen({
    host: '127.0.0.1',
    port: this.gatewaySite.settings.internalPort,
    firstMessageTimeoutMs: 0,
    onConnection (connection) {
      first ??= connection
      const isFirst = connection === first
      const report = (): void => {
        for (const workerId of ['d1', 'd2']) {
          connection.send({ kind: MessageKind.EngineCapacity, workerId, roomTokens: 50_000, reads: false, waiting: 0, senders: 1 })
        }
      }
      report()
      const reports = setInterval(() => { if (!isFirst || what === 'carry nothing towards it') report() }, reportMs)
      connection.onClose(() => clearInterval(reports))
      connection.onMessage((msg) => {
        if (msg.kind !== MessageKind.Admit || isFirst) return
        connection.send({ kind: MessageKind.Admitted, requestId: msg.requestId, attempt: msg.attempt, hold: `hold-${msg.requestId}` })
      })
    }
  })
  this.silentSidecar = listener.unwrap()
  await until(() => this.gatewaySite.readLog().includes('sidecar connected'), 1500, 'a connection to the sidecar')
  await sleep(50)
})

When('gateway clients request a generation on {string} {int} times, {int} ms apart', async function (this: World, path: string, times: number, gapMs: number) {
  const startedMs = performance.now()
  const sent: Array<Promise<{ atMs: number, status: number }>> = []
  for (let i = 0; i < times; i++) {
    const atMs = performance.now() - startedMs
    sent.push(send(this.gatewaySite, `POST ${path}`, { headers, chunks: ['prompt'] }).then(({ status }) => ({ atMs, status })))
    await sleep(gapMs)
  }
  this.generations = await Promise.all(sent)
})

Then('each generation from {int} ms on was answered with {int}', function (this: World, fromMs: number, status: number) {
  const late = this.generations.filter(({ atMs }) => atMs >= fromMs).map((generation) => generation.status)
  assert.ok(late.length > 0)
  assert.deepEqual(late, late.map(() => status))
})

After(async function (this: World) { await this.silentSidecar?.close() })
