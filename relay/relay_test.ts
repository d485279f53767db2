/**
 * Steps for configuration relays with a manual timer.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createFleet, recordValue } from './_fleet_test.ts'
import type { Fleet, FleetNode, ServiceView } from './_fleet_test.ts'

interface World {
  fleet: Fleet
  revision: number
  oldRevision: number
  fromMs: number
  fromReads: number
}

const settleMs = 8_000

Given('{int} relays in {int} availability zones with a configuration at revision {int}',
  async function (this: World, count: number, zones: number, revision: number) {
    this.fleet = createFleet(count, zones, 5)
    while (this.fleet.write() < revision);
    await this.fleet.run(settleMs)
    this.oldRevision = revision
    this.fromMs = this.fleet.timer.now()
    this.fromReads = this.fleet.reads
    for (const { config } of this.fleet.nodes.values()) assert.equal(recordValue(config), revision)
  })

function readers (world: World): FleetNode[] {
  return [...world.fleet.nodes.values()].filter(({ relay }) => relay.status().isReader)
}

function setView (world: World, nodes: Iterable<FleetNode>, view: ServiceView): void {
  for (const { member } of nodes) world.fleet.views.set(member.name, view)
}

When('the relays get a change of the service', function (this: World) {
  this.revision = this.fleet.write()
})

When('{int} in 100 messages of the relays get lost', function (this: World, percent: number) {
  this.fleet.lossShare = percent / 100
})

When('the service is stale for every relay but one reader', function (this: World) {
  setView(this, this.fleet.nodes.values(), { staleAt: this.oldRevision })
  this.fleet.views.delete(readers(this)[0]!.member.name)
})

When('the service is down for every relay after {int} ms', async function (this: World, ms: number) {
  await this.fleet.run(ms)
  setView(this, this.fleet.nodes.values(), 'down')
})

When('the service is down for the readers only', function (this: World) {
  setView(this, readers(this), 'down')
})

When('the readers of one zone die', function (this: World) {
  for (const { member } of readers(this)) {
    if (member.availabilityZone === 'z0') this.fleet.stop(member.name)
  }
})

When('every relay but one restarts, one after the other', async function (this: World) {
  for (const name of [...this.fleet.nodes.keys()].slice(1)) {
    this.fleet.restart(name)
    await this.fleet.run(500)
  }
  await this.fleet.run(settleMs)
})

When('{int} s pass for the relays', function (this: World, seconds: number) {
  return this.fleet.run(seconds * 1000)
})

Then('within {int} s the change is in force at every relay', async function (this: World, seconds: number) {
  await this.fleet.run(seconds * 1000)
  const behind = [...this.fleet.nodes.values()].filter(({ config }) => recordValue(config) < this.revision)
  assert.deepEqual(behind.map(({ member }) => member.name), [])
})

Then('the relays read the service at most {int} times a second', function (this: World, most: number) {
  const rate = (this.fleet.reads - this.fromReads) / ((this.fleet.timer.now() - this.fromMs) / 1000)
  assert.ok(rate <= most, `${rate} reads a second`)
})

Then('no restarted relay served an older configuration than the change', function (this: World) {
  for (const { member, readyAt, config } of this.fleet.nodes.values()) {
    if (member.name === 'p0') continue
    assert.equal(readyAt, this.revision, member.name)
    assert.equal(recordValue(config), this.revision, member.name)
  }
})

Then('the relays read the service at most {int} times for each reader', function (this: World, most: number) {
  const reads = this.fleet.reads - this.fromReads
  assert.ok(reads <= most * readers(this).length, `${reads} reads`)
})

Then('every relay was ready within {int} ms of the start of the fleet', function (this: World, limitMs: number) {
  const late = [...this.fleet.nodes.values()].filter(({ readyMs = Infinity }) => readyMs > limitMs)
  assert.deepEqual(late.map(({ member, readyMs }) => `${member.name} ${readyMs}`), [])
})
