/**
 * Steps for placement.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { RecordKind } from '../records/mod.ts'
import type { BackendRecord, ModelRecord } from '../records/mod.ts'
import { Role } from '../types/mod.ts'
import { choosePlacement, createMoveDecider, createPrefillShareController, MoveKind } from './mod.ts'
import type { Assignment, ServingReport, PlacementView } from './mod.ts'

interface World {
  view: PlacementView
  dead: Set<string>
  seats: { decode: number, prefill: number }
}

Given('a placement of {int} models on {int} engines in {int} availability zones with {int} replicas and a prefill share of {float}',
  function (this: World, models: number, engines: number, zones: number, replicasPerZone: number, prefillShare: number) {
    this.dead = new Set()
    this.view = {
      isLive: (name) => !this.dead.has(name),
      models: Array.from({ length: models }, (_, i): ModelRecord => ({
        kind: RecordKind.Model,
        name: `m${i}`,
        versions: [{ version: 'a', adapter: '', weight: 1, weightBytes: 1e9 }],
        replicasPerZone,
        prefillShare
      })),
      backends: Array.from({ length: engines }, (_, i): BackendRecord => ({
        kind: RecordKind.Backend,
        name: `b${i}`,
        address: '127.0.0.1:1',
        agent: '127.0.0.1:2',
        adapter: 'engine_http',
        // Each model has 6 engines a zone: 2 for prefill, 4 for decode.
        role: Math.floor(i / zones / models) % 3 === 0 ? Role.Prefill : Role.Decode,
        serves: `m${Math.floor(i / zones) % models}`,
        version: 'a',
        fencing: true,
        weight: 1,
        availabilityZone: `z${i % zones}`,
        region: 'r'
      }))
    }
  })

function countServing (view: PlacementView, placed: Map<string, Assignment>): Map<string, number> {
  const counts = new Map<string, number>()
  for (const [name, { model, role, version }] of placed) {
    const zone = view.backends.find((backend) => backend.name === name)!.availabilityZone
    for (const key of [`${zone} ${model} ${role}`, `${zone} ${model} ${role} ${version}`]) {
      counts.set(key, (counts.get(key) ?? 0) + 1)
    }
  }
  return counts
}

Then('the placement serves each model in each zone with at least {int} decode and {int} prefill engines of each version',
  function (this: World, decode: number, prefill: number) {
    const counts = countServing(this.view, choosePlacement(this.view))
    for (const { name } of this.view.models) {
      for (const zone of ['z0', 'z1', 'z2']) {
        assert.ok((counts.get(`${zone} ${name} decode a`) ?? 0) >= decode, `${zone} ${name}`)
        assert.ok((counts.get(`${zone} ${name} prefill a`) ?? 0) >= prefill, `${zone} ${name}`)
      }
    }
  })

Then('the placement leaves every engine with the model and role of its record', function (this: World) {
  for (const [name, { model, role }] of choosePlacement(this.view)) {
    const record = this.view.backends.find((backend) => backend.name === name)!
    assert.deepEqual([model, role], [record.serves, record.role])
  }
})

function keyOf ({ role, model, version }: Assignment): string {
  return `${role} ${model} ${version}`
}

Then('the placement moves after the loss of any one host are at most the minimum plus {int} and at most {float} times the minimum in all',
  function (this: World, slack: number, factor: number) {
    const before = choosePlacement(this.view)
    let all = 0
    let allLeast = 0
    for (const { name: lost } of this.view.backends) {
      this.dead = new Set([lost])
      const after = choosePlacement(this.view)
      const moves = [...after].filter(([name, assignment]) => keyOf(before.get(name)!) !== keyOf(assignment)).length
      const least = leastMoves(this.view, before, after, lost)
      assert.ok(moves <= least + slack, `${lost}: ${moves} moves, at least ${least}`)
      all += moves
      allLeast += least
    }
    assert.ok(all <= allLeast * factor, `${all} moves, at least ${allLeast}`)
    console.log(`placement: ${all} moves after ${this.view.backends.length} losses of one host, minimum ${allLeast}`)
  })

/** Counts the engines that must change so that each group reaches its new size. */
function leastMoves (view: PlacementView, before: Map<string, Assignment>, after: Map<string, Assignment>, lost: string): number {
  const left = new Map([...before].filter(([name]) => name !== lost))
  const had = countServing(view, left)
  const isVersion = ([key]: [string, number]): boolean => key.split(' ').length === 4
  return [...countServing(view, after)].filter(isVersion)
    .reduce((sum, [key, count]) => sum + Math.max(0, count - (had.get(key) ?? 0)), 0)
}

When('the placement loses {int} of the {int} engines of model {string} in zone {string}',
  function (this: World, losses: number, _of: number, model: string, zone: string) {
    const engines = this.view.backends.filter((backend) => backend.serves === model && backend.availabilityZone === zone)
    this.dead = new Set(engines.slice(0, losses).map(({ name }) => name))
  })

interface Engine {
  record: BackendRecord
  state: Assignment
  loadingUntilMs: number
  placement: ReturnType<typeof createMoveDecider>
}

const loadMs = 3_000
const stepMs = 500

function startEngines (view: PlacementView): Map<string, Engine> {
  const placed = choosePlacement(view)
  return new Map(view.backends.map((record) => [record.name, {
    record,
    state: placed.get(record.name)!,
    loadingUntilMs: 0,
    placement: createMoveDecider({ self: record.name, settleMs: 1_000, reportMaxAgeMs: 2_000 })
  }]))
}

/** Returns what the engines that serve say now. */
function reportAll (engines: Map<string, Engine>, nowMs: number): ServingReport[] {
  return [...engines.values()].filter(({ loadingUntilMs }) => loadingUntilMs <= nowMs).map(({ record, state }) => ({
    name: record.name,
    availabilityZone: record.availabilityZone,
    ...state,
    draining: false,
    atMs: nowMs
  }))
}

function servingCounts (engines: Map<string, Engine>, nowMs: number): Map<string, number> {
  const counts = new Map<string, number>()
  for (const { availabilityZone, model, role } of reportAll(engines, nowMs)) {
    const key = `${availabilityZone} ${model} ${role}`
    counts.set(key, (counts.get(key) ?? 0) + 1)
  }
  return counts
}

function move (engine: Engine, view: PlacementView, reports: ServingReport[], nowMs: number): void {
  if (engine.loadingUntilMs > nowMs) return
  const decision = engine.placement.decide(view, engine.state, reports, nowMs)
  if (decision.kind !== MoveKind.Move) return
  engine.state = decision.target!
  engine.loadingUntilMs = nowMs + loadMs
}

Then('a placement roll of model {string} never leaves fewer than {int} decode and {int} prefill engines in a zone and ends',
  function (this: World, name: string, decode: number, prefill: number) {
    const engines = startEngines(this.view)
    const rolled = { version: 'b', adapter: '', weight: 1, weightBytes: 1e9 }
    const models = this.view.models.map((model) => model.name === name ? { ...model, versions: [rolled] } : model)
    const view = { ...this.view, models }
    let nowMs = 0
    const isDone = (): boolean => [...engines.values()].every(({ state }) => state.model !== name || state.version === 'b')
    for (; nowMs < 300_000 && !isDone(); nowMs += stepMs) {
      const reports = reportAll(engines, nowMs)
      for (const engine of engines.values()) move(engine, view, reports, nowMs)
      const counts = servingCounts(engines, nowMs)
      for (const zone of ['z0', 'z1', 'z2']) {
        assert.ok((counts.get(`${zone} ${name} decode`) ?? 0) >= decode, `${zone} at ${nowMs} ms`)
        assert.ok((counts.get(`${zone} ${name} prefill`) ?? 0) >= prefill, `${zone} at ${nowMs} ms`)
      }
    }
    assert.ok(isDone(), 'the roll did not end')
  })

Then('{int} random placement schedules with a view for each agent keep a decode and a prefill engine of each model',
  function (this: World, schedules: number) {
    let moves = 0
    for (let seed = 1; seed <= schedules; seed++) moves += runSchedule(this.view, seed)
    assert.ok(moves > schedules, `${moves} moves show too little`)
  })

/** Gives each agent its own changing view of who is live and late reports; returns the number of moves. */
function runSchedule (view: PlacementView, seed: number): number {
  const rng = xoroshiro128plus(seed)
  const chance = (percent: number): boolean => uniformInt(rng, 1, 100) <= percent
  const zone = view.backends.filter(({ availabilityZone }) => availabilityZone === 'z0')
  const zoneView = { ...view, backends: zone }
  const engines = startEngines(zoneView)
  const believedDead = new Map(zone.map(({ name }) => [name, new Set<string>()]))
  const lastReports = new Map(zone.map(({ name }) => [name, [] as ServingReport[]]))
  let moves = 0
  for (let nowMs = 0; nowMs < 15_000; nowMs += stepMs) {
    const reports = reportAll(engines, nowMs)
    for (const [name, engine] of engines) {
      const dead = believedDead.get(name)!
      if (chance(15)) believedDead.set(name, new Set(zone.filter((other) => other.name !== name && chance(40)).map((other) => other.name)))
      if (chance(60)) lastReports.set(name, reports)
      const before = engine.state
      move(engine, { ...zoneView, isLive: (other) => !dead.has(other) }, lastReports.get(name)!, nowMs)
      if (engine.state !== before) moves++
    }
    const counts = servingCounts(engines, nowMs)
    for (const { name } of view.models) {
      for (const role of [Role.Decode, Role.Prefill]) {
        assert.ok((counts.get(`z0 ${name} ${role}`) ?? 0) > 0, `seed ${seed}: ${name} has no ${role} engine at ${nowMs} ms`)
      }
    }
  }
  return moves
}

Then('the placement balance stays at {float} under a short peak, reaches {float} under a long one and {float} at the most',
  (start: number, next: number, most: number) => {
    const balance = createPrefillShareController({ prefillShare: start, holdMs: 1000 })
    const near = (a: number, b: number): void => assert.ok(Math.abs(a - b) < 1e-9, `${a}, not ${b}`)
    near(balance.observe(0.9, 0.3, 0), start)
    near(balance.observe(0.5, 0.5, 900), start)
    near(balance.observe(0.9, 0.3, 1000), start)
    near(balance.observe(0.9, 0.3, 2000), next)
    let share = 0
    for (let nowMs = 3000; nowMs < 20_000; nowMs += 1000) share = balance.observe(0.9, 0.3, nowMs)
    near(share, most)
  })
