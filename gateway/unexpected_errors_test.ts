/**
 * Steps for errors inside the gateway, on a server for clients whose surroundings fail.
 */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { request as httpRequest } from 'node:http'
import { PassThrough } from 'node:stream'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { Err, Ok } from '../core/results/mod.ts'
import { RefusalCode } from '../core/types/mod.ts'
import { createFleet, Stage, WorkerState } from '../core/fleet/mod.ts'
import { createRouteTable } from '../core/route/mod.ts'
import { createLog } from '../log/mod.ts'
import { decodeRoutingRules } from '../platform/mod.ts'
import { buildConfiguration } from '../testing/fleuve/mod.ts'
import { createSystemTimer } from '../timer/mod.ts'
import { createClientServer } from './_client_server.ts'
import { createLoadsAlone } from './_loads_alone_test.ts'
import type { AddressInfo } from 'node:net'
import type { ExchangeHandlers } from '../exchange/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { ClientServer } from './_client_server.ts'
import type { GatewayContext } from './_types.ts'

interface World {
  clientServer: ClientServer
  clientTimer: Timer
  clientLog: string[]
  clientPath: string
  clientStatus: number
  tookMs: number
}

interface Failure {
  path: string
  /** Parts of the context that fail. */
  context: { [name: string]: unknown }
}

const budget = { recordRequest () {}, take: () => true }
const unusableHead = { status: 200, headers: ['X-Request-Id', 'u-1', 'Content-Length', 'many'] }

const failures: { readonly [what: string]: Failure } = {
  'the accounting of requests throws': { path: '/safe/x', context: { retryBudget () { throw new Error('no budget') } } },
  'a worker does not answer': {
    path: '/unsafe/x', context: { pool: { send: () => ({ abort () {}, pause () {}, resume () {} }) } }
  },
  'a reservation fails after 1100 ms': {
    path: '/stream/x',
    context: {
      sidecars: {
        isConnected: () => true,
        reserve: () => new Promise((resolve) => { setTimeout(() => resolve(Err(RefusalCode.Unreachable)), 1_100) }),
        release () {}
      }
    }
  },
  'a reservation is never answered': {
    path: '/stream/x', context: { sidecars: { isConnected: () => true, reserve: () => new Promise(() => {}), release () {} } }
  },
  "the head of the worker's response is not usable": {
    path: '/unsafe/x',
    context: {
      pool: {
        send (_address: string, _req: object, handlers: ExchangeHandlers) {
          setImmediate(() => {
            handlers.onHead(unusableHead.status, [...unusableHead.headers, 'X-Bad', 'line\nbreak'], { isCloseDelimited: false, isReused: false, connection: 1 })
            handlers.onEnd()
          })
          return { abort () {}, pause () {}, resume () {} }
        }
      }
    }
  }
}

Given(/^a gateway server on which (.*)$/, async function (this: World, what: string) {
  const { path, context } = failures[what] as Failure
  const stream = new PassThrough()
  this.clientLog = []
  this.clientPath = path
  this.clientTimer = createSystemTimer()
  stream.on('data', (chunk) => { this.clientLog.push(String(chunk)) })
  const fleet = createFleet()
  const entry = { address: '127.0.0.1:9', zone: 'levis', slots: 6, state: WorkerState.Ready, softwareVersion: 'v1', bornMs: 1 }
  fleet.upsert({ ...entry, id: 'w1', service: 'plain' }, 0)
  fleet.upsert({ ...entry, id: 'd1', service: 'llm', stage: Stage.Decode }, 0)
  const table = createRouteTable(decodeRoutingRules(buildConfiguration(1)).unwrap())
  this.clientServer = createClientServer({
    timer: this.clientTimer,
    log: createLog({ name: 'edge-1', level: 'info', stream }),
    directory: { routeTable: () => table, fleet },
    metrics: { count () {}, observe () {} },
    random: Math.random,
    retryBudget: () => budget,
    allowances: { spend: () => Ok({ giveBack () {} }) },
    promptGuard: { find: () => undefined },
    roundTripMs: () => 1,
    workerLoads: createLoadsAlone(this.clientTimer),
    heldBytes: { open: () => ({ set () {}, close () {} }) },
    settings: { drainMs: 2_500 },
    ...context
  } as unknown as GatewayContext)
  this.clientServer.server.listen(0, '127.0.0.1')
  await once(this.clientServer.server, 'listening')
})

async function sendWithDeadline (world: World, deadlineMs: number): Promise<void> {
  const { port } = world.clientServer.server.address() as AddressInfo
  const headers = { Host: 'a.example', 'X-Request-Id': 'u-1', 'X-Token-Counts': '100,40', 'X-Request-Deadline-Ms': String(deadlineMs) }
  const startedMs = performance.now()
  world.clientStatus = await new Promise((resolve, reject) => {
    const req = httpRequest({ host: '127.0.0.1', port, path: world.clientPath, method: 'POST', headers, agent: false, timeout: 2000 }, (res) => {
      res.resume()
      resolve(res.statusCode ?? 0)
    })
    req.on('error', reject)
    req.on('timeout', () => req.destroy(new Error('no response within 2000 ms')))
    req.end('body')
  })
  world.tookMs = performance.now() - startedMs
}

When('a client of the gateway server sends a request with a deadline of {int} ms', async function (this: World, deadlineMs: number) {
  await sendWithDeadline(this, deadlineMs)
})

When('a client of the gateway server sends a request with a deadline of {int} ms, and the process is held up until {int} ms after its acceptance',
  async function (this: World, deadlineMs: number, heldMs: number) {
    this.clientServer.server.once('request', () => {
      const endMs = performance.now() + heldMs
      // The handler goes as far as it can before the process is held up.
      setTimeout(() => { while (performance.now() < endMs); }, 20)
    })
    await sendWithDeadline(this, deadlineMs)
  })

Then('the client of the gateway server gets {int} within {int} ms', function (this: World, status: number, ms: number) {
  assert.equal(this.clientStatus, status, this.clientLog.join(''))
  assert.ok(this.tookMs < ms, `${this.tookMs} ms`)
})

Then('the gateway server logged {string}', function (this: World, text: string) { assert.ok(this.clientLog.join('').includes(text)) })

After(function (this: World) {
  this.clientServer?.server.closeAllConnections()
  this.clientServer?.server.close()
  this.clientTimer?.close()
})
