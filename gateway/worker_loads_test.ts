/**
 * Steps for the exchange of loads between gateways and exchange points, without a network.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { PlacementPolicy } from '../core/cost/mod.ts'
import { createFleet, WorkerState } from '../core/fleet/mod.ts'
import { createWorkerLoadsTask } from '../sidecar/_worker_loads_task.ts'
import { createManualTimer } from '../timer/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import { createPlainPlacement } from './_place_plain.ts'
import { StopReason } from './_types.ts'
import { createWorkerLoads } from './_worker_loads.ts'
import type { Worker } from '../core/fleet/mod.ts'
import type { Result } from '../core/results/mod.ts'
import type { ManualTimer } from '../timer/mod.ts'
import type { Connection, MessageOf } from '../wire/mod.ts'
import type { SidecarClient } from './_sidecar_client.ts'
import type { PlainPlacement, Placed, NotPlaced } from './_place_plain.ts'
import type { ClientRequest, GatewayContext } from './_types.ts'
import type { WorkerLoads } from './_worker_loads.ts'

enum Fault { Dead = 'dead', Frozen = 'frozen', Renewed = 'renewed' }

interface Point { handle: ReturnType<typeof createWorkerLoadsTask>['handlers'], fault?: Fault }

interface LoadGateway { loads: WorkerLoads, open: Array<(tookMs?: number) => void>, isAlive: boolean }

interface World { loadTimer: ManualTimer, points: Point[], gateways: Map<string, LoadGateway>, reports: number, placement: PlainPlacement, placed: Promise<Result<Placed, NotPlaced>>, stopped?: StopReason }

/** Time in milliseconds that a message takes. */
const tripMs = 20
const request = { route: { name: 'stamp' }, method: 'POST', head: {} } as unknown as ClientRequest

const fleet = createFleet()
for (const id of ['v', 'w']) fleet.upsert({ id, service: 's', address: '10.0.0.1:80', zone: 'z', slots: 6, state: WorkerState.Ready, softwareVersion: 'v1', bornMs: 5 }, 0)

function getWorker (id: string): Worker { return fleet.get(id) as Worker }

/** Opens a gateway whose messages reach the points, and theirs it, after the time of a trip. */
function openGateway (world: World, name: string): void {
  const { loadTimer: timer, points } = world
  let receive: (address: string, msg: MessageOf<MessageKind.WorkerLoadsSum>) => void = () => {}
  const gateway: Omit<LoadGateway, 'loads'> = { open: [], isAlive: true }
  const sidecars = {
    exchangePoints: () => points.map((_, i) => `p${i}`),
    connectionNumber: (address: string) => points[Number(address.slice(1))]?.fault === Fault.Dead ? undefined : 1,
    receive: (_kind: MessageKind, fn: typeof receive) => { receive = fn },
    sendToPoint (address: string, msg: MessageOf<MessageKind.WorkerLoads>) {
      if (!gateway.isAlive) return false
      world.reports++
      const send = (answer: MessageOf<MessageKind.WorkerLoadsSum>): boolean => {
        timer.after(tripMs, () => receive(address, answer))
        return true
      }
      const deliver = (): void => {
        const point = points[Number(address.slice(1))]
        if (point !== undefined && point.fault !== Fault.Frozen) point.handle[MessageKind.WorkerLoads]?.({ send } as unknown as Connection, msg)
      }
      timer.after(tripMs, deliver)
      // The network may deliver a message again, later than the next ones.
      timer.after(7 * tripMs, deliver)
      return true
    }
  } as unknown as SidecarClient
  const loads = createWorkerLoads({ sidecars, timer, name, policy: PlacementPolicy.Completion, incarnation: 1_000 + timer.now() })
  world.gateways.set(name, Object.assign(gateway, { loads }))
}

function getGateway (world: World, name: string): LoadGateway { return world.gateways.get(name) as LoadGateway }

function send (gateway: LoadGateway, count: number, id: string): void {
  for (let i = 0; i < count; i++) gateway.open.push(gateway.loads.begin(request, getWorker(id), { roundTripMs: 1 }))
}

function endSilently (gateway: LoadGateway): void {
  gateway.isAlive = false
  gateway.loads.close()
}

Given('{int} load points and the load gateways {string} and {string}', function (this: World, count: number, one: string, other: string) {
  this.loadTimer = createManualTimer()
  this.points = Array.from({ length: count }, () => ({ handle: createWorkerLoadsTask(this.loadTimer).handlers }))
  this.gateways = new Map()
  this.reports = 0
  for (const name of [one, other]) openGateway(this, name)
})

When('the load gateway {string} sends {int} requests to {string}, and {string} sends {int} to {string}',
  function (this: World, one: string, count: number, id: string, other: string, otherCount: number, otherId: string) {
    send(getGateway(this, one), count, id)
    send(getGateway(this, other), otherCount, otherId)
  })

When('the load gateway {string} ends {int} requests', function (this: World, name: string, count: number) {
  for (const end of getGateway(this, name).open.splice(0, count)) end(80)
})

When('{int} ms pass at the load gateways', function (this: World, ms: number) { this.loadTimer.advance(ms) })

When('the first load point is {word}', function (this: World, fault: Fault) {
  const point = this.points[0] as Point
  if (fault === Fault.Renewed) point.handle = createWorkerLoadsTask(this.loadTimer).handlers
  else point.fault = fault
})

When('all load points are dead', function (this: World) { for (const point of this.points) point.fault = Fault.Dead })

When('the load gateway {string} is replaced by one that starts {int} ms later and sends {int} requests to {string}',
  function (this: World, name: string, laterMs: number, count: number, id: string) {
    endSilently(getGateway(this, name))
    this.loadTimer.advance(laterMs)
    openGateway(this, name)
    send(getGateway(this, name), count, id)
  })

When('the load gateway {string} ends without a word', function (this: World, name: string) { endSilently(getGateway(this, name)) })

Then('the load gateway {string} sees {int} requests at {string} and {int} at {string}',
  function (this: World, name: string, count: number, id: string, otherCount: number, otherId: string) {
    const { loads } = getGateway(this, name)
    assert.ok(loads.isKnown())
    const { candidates, unseenRequests } = loads.see(request, [getWorker(id), getWorker(otherId)], () => 0)
    // What others had is taken to be worked off meanwhile, and replaced.
    assert.equal(Math.round((candidates[0]?.requests ?? 0) + unseenRequests), count)
    assert.equal(candidates[1]?.requests, otherCount)
  })

Then('the load gateway {string} knows nothing of the others', function (this: World, name: string) {
  assert.equal(getGateway(this, name).loads.isKnown(), false)
})

Then('the load gateways have sent {int} reports', function (this: World, count: number) { assert.equal(this.reports, count) })

When('the load gateway {string} places a request with a target of {int} ms and a deadline of {int} ms',
  function (this: World, name: string, targetLatencyMs: number, deadlineMs: number) {
    const { loadTimer: timer } = this
    const context = {
      timer,
      random: () => 0.5,
      workerLoads: getGateway(this, name).loads,
      directory: { fleet, routeTable: () => undefined },
      settings: { drainMs: 2_500 },
      metrics: { count () {} },
      log: { warn () {} },
      roundTripMs: () => 1
    } as unknown as GatewayContext
    const startedMs = timer.now()
    const placing = {
      ...request,
      service: { name: 's' },
      route: { name: 'stamp', targetLatencyMs, timeoutMs: deadlineMs },
      head: { deadlineMs },
      priority: 0,
      startedMs,
      deadlineMs: startedMs + deadlineMs,
      stopReason: () => this.stopped
    } as unknown as ClientRequest
    this.placement = createPlainPlacement(() => context)
    this.placed = this.placement.place(placing, new Set(), 400)
  })

When('its client leaves', function (this: World) { this.stopped = StopReason.ClientDisconnected })

/** Lets time pass in steps, so that what waits for the timer goes on between them, and returns where the request went. */
async function settle (world: World, ms: number): Promise<Result<Placed, NotPlaced>> {
  for (let passedMs = 0; passedMs < ms; passedMs += 5) {
    world.loadTimer.advance(5)
    await Promise.resolve()
    await Promise.resolve()
  }
  return await Promise.race([world.placed, Promise.reject(new Error(`not placed within ${ms} ms`))])
}

Then('within {int} ms it is refused with a time to come back of at most {int} ms', async function (this: World, ms: number, most: number) {
  const placed = await settle(this, ms)
  assert.ok(placed.err)
  assert.equal(placed.val.reason, 'no_room_in_time')
  assert.ok((placed.val.retryAfterMs ?? Infinity) <= most, `${placed.val.retryAfterMs} ms`)
})

Then('within {int} ms it is sent to {string}', async function (this: World, ms: number, id: string) {
  const placed = await settle(this, ms)
  assert.ok(placed.ok)
  assert.equal(placed.val.worker.entry.id, id)
})

Then('within {int} ms it ends with {string}', async function (this: World, ms: number, reason: string) {
  const placed = await settle(this, ms)
  assert.ok(placed.err)
  assert.equal(placed.val.reason, reason)
})

Then('no request waits at the load gateway', function (this: World) { assert.equal(this.placement.waiting(), 0) })
