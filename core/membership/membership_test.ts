/**
 * Steps for the membership view.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { HostState } from '../../source/mod.ts'
import type { HostEntry } from '../../source/mod.ts'
import { createMembership } from './mod.ts'
import type { MemberChange, Membership } from './mod.ts'

interface World {
  view: Membership
  last: { state: string, reason: string }
  changes: MemberChange[]
}

const place = { availabilityZone: 'levis', region: 'qc-est' }
const host: HostEntry = { name: 'b1', kind: 'agent', address: '127.0.0.1:7000', state: HostState.Live, ...place }
const peer = { name: 'b1', process: 'agent' as const, address: '127.0.0.1:7000', ...place }

type Event = (view: Membership, nowMs: number, args: string[]) => MemberChange[]

function heartbeat (hasPendingWork: boolean): Event {
  return (view, nowMs, [progress]) => {
    const { incarnation } = view.get('b1')!
    return view.recordHeartbeat({ name: 'b1', incarnation, progress: Number(progress), hasPendingWork }, nowMs)
  }
}

const events: Record<string, Event> = {
  busy: heartbeat(true),
  idle: heartbeat(false),
  tick: (view, nowMs) => view.updateStates(nowMs),
  disconnect: (view, nowMs, [incarnation]) => view.recordDisconnection('b1', Number(incarnation), nowMs),
  connect: (view, nowMs, [incarnation]) => view.recordConnection({ ...peer, incarnation: Number(incarnation) }, nowMs),
  drain: (view, nowMs, [incarnation]) => view.recordDraining('b1', Number(incarnation), true, nowMs),
  report: (view, nowMs, [state, incarnation]) =>
    view.recordPeerReport({ name: 'b1', state: state as 'gone', incarnation: Number(incarnation) }, nowMs),
  list: (view, nowMs, [state]) => view.applyHostList(state === 'none' ? [] : [{ ...host, state: state as HostState }], nowMs)
}

Given('a membership view of {string}, listed live, connected at incarnation {int}',
  function (this: World, name: string, incarnation: number) {
    this.view = createMembership()
    this.view.applyHostList([{ ...host, name }], 0)
    this.view.recordConnection({ ...peer, name, incarnation }, 0)
    this.changes = []
  })

When('the member events {string} happen', function (this: World, script: string) {
  for (const step of script.split('; ')) {
    const [atMs, event, ...args] = step.split(' ')
    this.changes.push(...events[event!]!(this.view, Number(atMs), args))
  }
  this.last = this.view.get('b1') ?? this.changes.at(-1)!.member
})

Then('the member {string} is {string} because of {string}', function (this: World, name: string, state: string, reason: string) {
  assert.deepEqual([this.last.state, this.last.reason], [state, reason])
  assert.equal(this.view.list().some((member) => member.name === name), state !== 'gone')
})

Then('the member {string} gets no new work, not even as the last resort', function (this: World, name: string) {
  assert.equal(this.view.acceptsWork(name), false)
  assert.equal(this.view.acceptsWork(name, true), false)
})

Then('the membership has {int} change that this process observed itself', function (this: World, count: number) {
  assert.equal(this.changes.filter((change) => change.isLocallyObserved).length, count)
})
