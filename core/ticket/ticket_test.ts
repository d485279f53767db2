/**
 * Steps for the ticket table.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { Outcome } from '../types/mod.ts'
import { createTicketTable, parseTicket, TicketAction } from './mod.ts'
import type { TicketDecision, TicketTable } from './mod.ts'

interface World {
  restart: () => void
  table: TicketTable<string>
  ticket: string
  answers: string[]
}

type Step = (world: World, nowMs: number, arg: string) => string

function describeDecision (decision: TicketDecision<string>): string {
  return decision.action === TicketAction.Replay ? `replay ${decision.outcome}` : decision.action
}

function begin (world: World, caller: string, nowMs: number): string {
  return describeDecision(world.table.beginCall(world.ticket, 'registre', caller, nowMs))
}

function issue (world: World, nowMs: number): string {
  const result = world.table.issue('registre', 'notaires', nowMs)
  return result.ok ? 'ok' : result.val
}

const steps: Record<string, Step> = {
  begin: (world, nowMs) => begin(world, 'notaires', nowMs),
  stranger: (world, nowMs) => begin(world, 'another', nowMs),
  void: (world, nowMs) => world.table.void(world.ticket, nowMs),
  issue,
  record (world, nowMs, outcome) {
    world.table.recordOutcome(world.ticket, outcome as Outcome, outcome === Outcome.Done ? 'reply' : undefined, nowMs)
    return 'ok'
  },
  restart (world) {
    world.restart()
    return 'ok'
  }
}

Given('a ticket table that keeps {int} tickets for {int} ms', function (this: World, maxTickets: number, retentionMs: number) {
  let incarnation = 0
  this.restart = () => {
    incarnation++
    this.table = createTicketTable<string>({ agent: 'registre-1', incarnation, retentionMs, maxTickets })
  }
  this.restart()
  this.ticket = this.table.issue('registre', 'notaires', 0).unwrap()
})

When('the ticket steps {string} run', function (this: World, text: string) {
  this.answers = text.split('; ').map((line) => {
    const [name = '', nowMs, arg = ''] = line.split(' ')
    const step = steps[name]
    assert.ok(step, `unknown step "${name}"`)
    return step(this, Number(nowMs), arg)
  })
})

Then('the ticket answers are {string}', function (this: World, expected: string) {
  assert.equal(this.answers.join('; '), expected)
})

Then('the ticket {string} was issued by {string}', function (text: string, issuer: string) {
  const result = parseTicket(text)
  assert.equal(result.ok ? Object.values(result.val).join(' ') : 'none', issuer)
})
