/**
 * Steps for the router.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { ChoicePolicy } from '../records/mod.ts'
import { Role } from '../types/mod.ts'
import { MessageKind } from '../../wire/mod.ts'
import { BackendHealth, createDelayEstimate, createRouter } from './mod.ts'
import type { TierClass } from '../types/mod.ts'
import type { LoadReport } from '../../wire/mod.ts'
import type { BackendQuery, Router, RouterOptions } from './mod.ts'

interface World {
  router: Router
  nowMs: number
  counts: Map<string, number>
  choice: ChoicePolicy
}

const place = { availabilityZone: 'levis', region: 'qc-est' }
const wanted: BackendQuery = {
  role: Role.Decode, model: 'redaction', version: '*', promptTokens: 100, prefixes: [], exclude: []
}

function seeded (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}

function report (backend: string, fields: Partial<LoadReport>): LoadReport {
  return {
    kind: MessageKind.Load,
    backend,
    role: Role.Decode,
    model: 'redaction',
    version: '1',
    seats: 20,
    seatsUsed: 0,
    pieces: 4000,
    piecesUsed: 0,
    queuedTokens: 0,
    waitMs: 0,
    draining: false,
    seq: 1,
    tokensPerPiece: 16,
    prefixes: [],
    stalledMs: 0,
    ...fields
  }
}

function build (policy: RouterOptions['policy'], loads: number[]): Router {
  const router = createRouter({ policy, place, random: seeded(7) })
  loads.forEach((seatsUsed, i) => {
    const name = `d${i + 1}`
    router.upsert({ ...place, name, role: Role.Decode, serves: 'redaction', version: '1', weight: 1 })
    router.onLoad(report(name, { seatsUsed }), 0)
  })
  return router
}

function chosen (router: Router, nowMs: number, fields: Partial<BackendQuery> = {}): string {
  return router.choose({ ...wanted, ...fields }, nowMs).unwrap().backend
}

Given('a router with the policy {string} and decode backends with the loads 6, 1 and 3',
  function (this: World, policy: string) {
    this.choice = policy as ChoicePolicy
    this.router = build({ choice: this.choice, affinitySeats: 0 }, [6, 1, 3])
    this.nowMs = 0
    this.counts = new Map()
  })

When('the router chooses {int} times without new reports', function (this: World, times: number) {
  for (let i = 0; i < times; i++) {
    const name = chosen(this.router, 0)
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1 / times)
  }
})

Then('the router chose the backends in the shares {string}', function (this: World, shares: string) {
  shares.split(' ').forEach((share, i) => {
    const seen = this.counts.get(`d${i + 1}`) ?? 0
    assert.ok(Math.abs(seen - Number(share)) < 0.08, `share of d${i + 1} is ${seen}, not ${share}`)
  })
})

Then('the router never chooses an ineligible backend in {int} random views', function (numRuns: number) {
  const flaws = ['draining', 'weightless', 'gone', 'excluded', 'far', 'none'] as const
  const policies = fc.constantFrom(...Object.values(ChoicePolicy))
  fc.assert(fc.property(fc.array(fc.constantFrom(...flaws), { maxLength: 8 }), policies, (kinds, choice) => {
    const router = createRouter({ policy: { choice, affinitySeats: 1 }, place, random: seeded(3) })
    kinds.forEach((kind, i) => {
      const name = `b${i}`
      const region = kind === 'far' ? 'qc-ouest' : place.region
      const weight = kind === 'weightless' ? 0 : 1
      router.upsert({ ...place, region, name, role: Role.Decode, serves: 'redaction', version: '1', weight })
      router.onLoad(report(name, { draining: kind === 'draining' }), 0)
      if (kind === 'gone') router.setHealth(name, BackendHealth.Gone)
    })
    const exclude = kinds.flatMap((kind, i) => kind === 'excluded' ? [`b${i}`] : [])
    const choiceMade = router.choose({ ...wanted, exclude, region: place.region }, 0)
    if (choiceMade.err) return !kinds.includes('none')
    assert.equal(choiceMade.val.runnersUp.length, kinds.length - 1)
    return kinds[Number(choiceMade.val.backend.slice(1))] === 'none'
  }), { seed: 11, numRuns })
})

When('the router learns that the backend {string} holds the prompt', function (this: World, backend: string) {
  this.router.recordPrefixes(backend, ['p1', 'p2'], 0)
})

function withAffinity (world: World, affinitySeats: number, nowMs: number): string {
  world.router.setPolicy({ choice: world.choice, affinitySeats })
  return chosen(world.router, nowMs, { prefixes: ['p1', 'p2'], promptTokens: 6 * 256, exclude: ['d3'] })
}

Then('the router chooses {string} with {int} affinity seats and {string} with {int}',
  function (this: World, near: string, many: number, far: string, few: number) {
    assert.equal(withAffinity(this, many, 0), near)
    assert.equal(withAffinity(this, few, 0), far)
  })

Then('the router chooses {string} after {int} ms with {int} affinity seats',
  function (this: World, backend: string, ms: number, seats: number) {
    this.router.onLoad(report('d1', { seatsUsed: 6, seq: 2 }), ms)
    this.router.onLoad(report('d2', { seatsUsed: 1, seq: 2 }), ms)
    assert.equal(withAffinity(this, seats, ms), backend)
  })

When('the router sends {int} requests to {string} and {int} ms pass',
  function (this: World, requests: number, backend: string, ms: number) {
    for (let i = 0; i < requests; i++) this.router.recordStart(backend, 100)
    this.nowMs = ms
  })

When('the router hears that {string} made no progress for {int} ms',
  function (this: World, backend: string, stalledMs: number) {
    this.router.onLoad(report(backend, { seatsUsed: 1, stalledMs, seq: 2 }), 0)
  })

Then('the router chooses {string} now', function (this: World, backend: string) {
  assert.equal(chosen(this.router, this.nowMs), backend)
})

Then('the router chooses {string} when {string} and {string} are excluded',
  function (this: World, backend: string, first: string, second: string) {
    assert.equal(chosen(this.router, this.nowMs, { exclude: [first, second] }), backend)
  })

Then('the router chooses no pair across regions in {int} random views', function (numRuns: number) {
  const views = fc.array(fc.record({ far: fc.boolean(), prefill: fc.boolean(), load: fc.nat(20) }), { maxLength: 8 })
  fc.assert(fc.property(views, fc.constantFrom(...Object.values(ChoicePolicy)), (kinds, choice) => {
    const router = createRouter({ policy: { choice, affinitySeats: 1 }, place, random: seeded(5) })
    const regionOf = (name: string): boolean => kinds[Number(name.slice(1))]?.far ?? false
    kinds.forEach(({ far, prefill, load }, i) => {
      const region = far ? 'qc-ouest' : place.region
      const role = prefill ? Role.Prefill : Role.Decode
      router.upsert({ ...place, region, name: `b${i}`, role, serves: 'redaction', version: '1', weight: 1 })
      router.onLoad(report(`b${i}`, { role, seatsUsed: load, queuedTokens: load * 256 }), 0)
    })
    const pair = router.choosePair(wanted, 0)
    const possible = [true, false].some((far) => [true, false].every((prefill) =>
      kinds.some((kind) => kind.far === far && kind.prefill === prefill)))
    if (pair.err) return !possible
    return regionOf(pair.val.prefill.backend) === regionOf(pair.val.decode.backend)
  }), { seed: 13, numRuns })
})

Given('a router for prefill with {int} queued tokens, {int} of them paid, and {float} ms for each token',
  function (this: World, queuedTokens: number, paidQueuedTokens: number, prefillMsPerToken: number) {
    const policy = { choice: ChoicePolicy.LeastLoaded, affinitySeats: 0 }
    this.router = createRouter({ policy, place, random: seeded(1), prefillMsPerToken: 9 })
    this.router.upsert({ ...place, name: 'p1', role: Role.Prefill, serves: 'redaction', version: '1', weight: 1 })
    const waitMs = queuedTokens * prefillMsPerToken
    this.router.onLoad(report('p1', { role: Role.Prefill, queuedTokens, paidQueuedTokens, waitMs }), 0)
  })

When('the router sends {int} own tokens and asks for {int} more of the tier {string}',
  function (this: World, own: number, more: number, tier: string) {
    this.router.recordStart('p1', own)
    this.nowMs = this.router.estimateFirstTokenMs('p1', more, tier as TierClass, 0)
  })

Then('the router estimates {int} ms', function (this: World, ms: number) {
  assert.equal(this.nowMs, ms)
})

Then('the router expects a wait {string} of {string} work with {int} of 20 seats and {int} of 4000 pieces used and a queue of {int} ms',
  function (waits: string, tier: string, seatsUsed: number, piecesUsed: number, waitMs: number) {
    const policy = { choice: ChoicePolicy.LeastLoaded, affinitySeats: 0, paidHeadroom: 0.1 }
    const router = build(policy, [0])
    router.onLoad(report('d1', { seatsUsed, piecesUsed, waitMs, seq: 2 }), 0)
    const expected = router.estimateReserveMs(wanted, tier as TierClass, 0)
    assert.equal(expected > 0 ? 'yes' : 'no', waits)
  })

Then('the router halves a handoff delay of {int} ms in each second without a sample', function (ms: number) {
  const delay = createDelayEstimate()
  delay.observe(ms, 0)
  assert.deepEqual([0, 1000, 2000].map(delay.estimateMs), [ms, ms / 2, ms / 4])
})

When('the router hears that nothing is queued any more', function (this: World) {
  this.router.onLoad(report('p1', { role: Role.Prefill, seq: 2 }), 0)
})

Then('the router expects {int} ms for a prefill of {int} tokens', function (this: World, ms: number, promptTokens: number) {
  const prefill = { ...wanted, role: Role.Prefill, promptTokens }
  assert.equal(this.router.estimateBestPrefillMs(prefill, 'paid' as TierClass, 0), ms)
})
