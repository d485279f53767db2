/**
 * Steps for keys that are withdrawn while a request is on its way, with fakes in place of connections and the directory.
 */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { request as httpRequest } from 'node:http'
import { PassThrough } from 'node:stream'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createFleet, Stage, WorkerState } from '../core/fleet/mod.ts'
import { Ok } from '../core/results/mod.ts'
import { createRouteTable } from '../core/route/mod.ts'
import { FailureKind } from '../exchange/mod.ts'
import { createLog } from '../log/mod.ts'
import { decodeRoutingRules } from '../platform/mod.ts'
import { buildConfiguration } from '../testing/fleuve/mod.ts'
import { createSystemTimer } from '../timer/mod.ts'
import { createClientServer } from './_client_server.ts'
import { createLoadsAlone } from './_loads_alone_test.ts'
import type { AddressInfo } from 'node:net'
import type { Fleet } from '../core/fleet/mod.ts'
import type { RouteTable } from '../core/route/mod.ts'
import type { ExchangeHandlers, ExchangeRequest } from '../exchange/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { ClientServer } from './_client_server.ts'
import type { GatewayContext } from './_types.ts'

interface World {
  keyServer: ClientServer
  keyTimer: Timer & { close (): void }
  /** Headers of the requests that went out. */
  sentHeaders: string[][]
  keyReply: { status: number, body: string }
  keyLog: string[]
  keyFleet: Fleet
  /** Ids of the requests whose memory was released without a stream. */
  releasedIds: string[]
}

const versions: { readonly [what: string]: object[] } = {
  'is withdrawn': [{ name: 'north', api_keys: ['n-key-2'] }],
  'goes to another one': [{ name: 'north', api_keys: [] }, { name: 'south', api_keys: ['n-key-1'] }],
  'stays in a later version': [{ name: 'north', api_keys: ['n-key-2', 'n-key-1'] }]
}

function createTable (version: number, tenants: object[]): RouteTable {
  return createRouteTable(decodeRoutingRules(buildConfiguration(version, { tenants }), { hasOrganisations: true }).unwrap())
}

type Respond = (handlers: ExchangeHandlers, goOut: () => boolean) => void

const head = { isCloseDelimited: false, isReused: false, connection: 1 }

const answer: Respond = (handlers, goOut) => {
  if (!goOut()) return handlers.onFail({ kind: FailureKind.Withheld, message: 'withheld', isReused: false })
  handlers.onHead(200, ['X-Request-Id', 'k-1', 'Content-Length', '0'], head)
  handlers.onEnd()
}

/** How the first worker responds; `change` puts the next version in force. */
const firstResponses: { readonly [when: string]: (change: () => void) => Respond } = {
  'has its connection opened': (change) => (handlers, goOut) => {
    change()
    answer(handlers, goOut)
  },
  'refuses it': (change) => (handlers, goOut) => {
    goOut()
    change()
    handlers.onHead(503, ['X-Request-Id', 'k-1', 'X-Not-Executed', '1'], head)
    handlers.onEnd()
  },
  'breaks off': (change) => (handlers, goOut) => {
    goOut()
    change()
    handlers.onFail({ kind: FailureKind.Broken, message: 'broken', isReused: false })
  }
}

Given(/^a gateway of organisations whose first worker (has its connection opened|refuses it|breaks off), while the key (.*)$/,
  async function (this: World, when: string, what: string) {
    let table = createTable(1, [{ name: 'north', api_keys: ['n-key-1'] }])
    const change = (): void => { table = createTable(2, versions[what] as object[]) }
    const responses = [firstResponses[when]?.(change) as Respond]
    this.sentHeaders = []
    this.keyLog = []
    this.releasedIds = []
    this.keyTimer = createSystemTimer()
    const stream = new PassThrough().on('data', (chunk) => { this.keyLog.push(String(chunk)) })
    const fleet = createFleet()
    this.keyFleet = fleet
    const entry = { zone: 'levis', slots: 6, state: WorkerState.Ready, softwareVersion: 'v1', bornMs: 1 }
    for (const id of ['w1', 'w2', 'w3']) fleet.upsert({ ...entry, id, address: `127.0.0.1:${id.slice(1)}`, service: 'plain' }, 0)
    fleet.upsert({ ...entry, id: 'd1', address: '127.0.0.1:9', service: 'llm', stage: Stage.Decode }, 0)
    const pool = {
      send (_address: string, req: ExchangeRequest, handlers: ExchangeHandlers) {
        const goOut = (): boolean => {
          const mayGo = handlers.mayStart?.() !== false
          if (mayGo) this.sentHeaders.push(req.headers as string[])
          return mayGo
        }
        setImmediate(() => (responses.shift() ?? answer)(handlers, goOut))
        return { abort () {}, pause () {}, resume () {} }
      },
      sentHeaders: this.sentHeaders
    }
    this.keyServer = createClientServer({
      timer: this.keyTimer,
      log: createLog({ name: 'edge-1', level: 'info', stream }),
      directory: { routeTable: () => table, fleet },
      pool,
      metrics: { count () {}, observe () {} },
      random: Math.random,
      retryBudget: () => ({ recordRequest () {}, take: () => true, remaining: () => 1, used: () => 0 }),
      allowances: { spend: () => Ok({ giveBack () {} }) },
      promptGuard: { find: () => undefined, watch: () => ({}), recordUnreachable () {} },
      sidecars: { isConnected: () => true, reserve: async () => Ok('hold-1'), release: (_worker: unknown, id: string) => { this.releasedIds.push(id) }, reportStreamEnd () {} },
      controlPool: { send: () => ({ abort () {}, pause () {}, resume () {} }) },
      roundTripMs: () => 1,
      gatewayCount: () => 1,
      workerLoads: createLoadsAlone(this.keyTimer),
      heldBytes: { open: () => ({ set () {}, close () {} }) },
      settings: { drainMs: 2_500, hasOrganisations: true }
    } as unknown as GatewayContext)
    this.keyServer.server.listen(0, '127.0.0.1')
    await once(this.keyServer.server, 'listening')
  })

After(function (this: World) {
  this.keyServer?.close()
  this.keyTimer?.close()
})

When('a caller of the organisations sends a request to {string}', async function (this: World, path: string) {
  const { port } = this.keyServer.server.address() as AddressInfo
  const headers = {
    Host: 'a.example', 'X-Request-Id': 'k-1', 'X-Request-Deadline-Ms': '600', 'X-Token-Counts': '100,40', Authorization: 'Token n-key-1', 'X-Tenant': 'west'
  }
  this.keyReply = await new Promise((resolve, reject) => {
    httpRequest({ host: '127.0.0.1', port, path: `${path}/x`, method: 'POST', headers, agent: false }, (res) => {
      let body = ''
      res.on('data', (chunk) => { body += String(chunk) })
      res.on('end', () => resolve({ status: res.statusCode ?? 0, body }))
    }).on('error', reject).end()
  })
})

Then('its caller gets {int} with the reason {string}, and it went out {int} times, for the last time as {string}',
  function (this: World, status: number, reason: string, times: number, name: string) {
    assert.equal(this.keyReply.status, status, this.keyLog.join(''))
    assert.ok(this.keyLog.some((line) => line.includes(`"reason":"${reason}"`)), this.keyLog.join(''))
    assert.equal(this.sentHeaders.length, times)
    const last = this.sentHeaders.at(-1) ?? []
    const at = last.findIndex((text) => text.toLowerCase() === 'x-tenant')
    assert.equal(at < 0 ? 'none' : last[at + 1], name)
    assert.equal(last.filter((text) => /^(x-tenant|authorization)$/i.test(text)).length, times === 0 ? 0 : 1)
  })

Then('its engine does not count as failing, and the memory that was reserved is released', function (this: World) {
  assert.equal(this.keyFleet.get('d1')?.streamFailures, undefined)
  assert.deepEqual(this.releasedIds, ['k-1'])
})
