/**
 * Runs one schedule of work and faults over the real core objects and checks what must always hold.
 */
import assert from 'node:assert/strict'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { createManualTimer } from '../../timer/mod.ts'
import { ReservePolicy } from '../records/mod.ts'
import { Outcome } from '../types/mod.ts'
import { createAgent, leaseMs } from './_agent.ts'
import { answerTokens, createEngine } from './_engine.ts'
import { createEntry } from './_entry.ts'
import { createNetwork } from './_network.ts'
import type { Agent } from './_agent.ts'
import type { Engine } from './_engine.ts'
import type { Answer, Entry } from './_entry.ts'

const agentNames = ['d1', 'd2', 'p1', 'p2']
const entryNames = ['e1', 'e2']
const seats = 2
const maxDelayMs = 30
/** Time in milliseconds after the last fault within which every engine is empty and every answer has ended. */
const quietMs = 2000

/** Names the steps of a schedule. */
export enum StepKind {
  Request = 'request',
  CallerGone = 'caller_gone',
  Ticket = 'ticket',
  Call = 'call',
  Void = 'void',
  CrashEntry = 'crash_entry',
  CrashAgent = 'crash_agent',
  Cut = 'cut',
  CutOneWay = 'cut_one_way',
  PauseEntry = 'pause_entry',
  PauseAgent = 'pause_agent'
}

/** One step: what happens after `waitMs`, to the process or request that `pick` selects, for `ms` milliseconds. */
export interface Step {
  kind: StepKind
  waitMs: number
  pick: number
  ms: number
}

/** A seed for the network and the engines, and the steps. */
export interface Schedule {
  seed: number
  steps: Step[]
}

interface Told {
  ticket: string
  outcome: Outcome
}

/** Counts what a schedule reached, so that a test can tell that it exercised anything. */
export interface ScheduleCounts {
  complete: number
  refused: number
  runs: number
}

/** Runs a schedule; throws an assertion error when something that must always hold does not. */
export function runSchedule (schedule: Schedule): ScheduleCounts {
  const timer = createManualTimer()
  const rng = xoroshiro128plus(schedule.seed)
  const random = () => uniformFloat64(rng)
  const network = createNetwork({ timer, random, loss: 0.03, repeats: 0.03, maxDelayMs })
  const agents = new Map<string, Agent>()
  const engines = new Map<string, Engine>()
  const entries = new Map<string, Entry>()
  const crashed = new Set<string>()
  const gone = new Set<string>()
  const answers = new Map<string, { answer: Answer, entry: Entry }>()
  const issued: Array<{ agent: string, ticket: string }> = []
  const told: Told[] = []
  const runs = new Map<string, number>()
  let incarnation = 0

  function startAgent (name: string): void {
    const engine = engines.get(name) ?? createEngine(timer, random, seats)
    engines.set(name, engine)
    incarnation++
    agents.set(name, createAgent({ name, incarnation, seats, engine, network, random, now: timer.now, runs }))
  }

  function startEntry (name: string): void {
    incarnation++
    entries.set(name, createEntry({ name, incarnation, network, random, now: timer.now, agents }))
  }

  const agentAt = (pick: number) => agentNames[pick % agentNames.length] ?? ''
  const entryAt = (pick: number) => entryNames[pick % entryNames.length] ?? ''
  const policies = Object.values(ReservePolicy)

  const steps: { [K in StepKind]: (pick: number, ms: number) => void } = {
    [StepKind.Request] (pick) {
      const entry = entries.get(entryAt(pick))
      const policy = policies[pick % policies.length]
      if (entry === undefined || policy === undefined) return
      const requestId = `r${answers.size}`
      answers.set(requestId, { answer: entry.begin(requestId, policy), entry })
    },
    [StepKind.CallerGone] (pick) {
      const requestId = `r${pick % Math.max(1, answers.size)}`
      answers.get(requestId)?.entry.callerGone(requestId)
      gone.add(requestId)
    },
    [StepKind.Ticket]: (pick) => agents.get(agentAt(pick))?.issueTicket((ticket) => issued.push({ agent: agentAt(pick), ticket })),
    [StepKind.Call] (pick) {
      const item = issued[pick % Math.max(1, issued.length)]
      const tell = (outcome: Outcome) => { if (item !== undefined) told.push({ ticket: item.ticket, outcome }) }
      if (item !== undefined) for (const entry of entries.values()) entry.call(item.agent, item.ticket, tell)
    },
    [StepKind.Void] (pick) {
      const item = issued[pick % Math.max(1, issued.length)]
      if (item === undefined) return
      entries.get(entryAt(pick))?.voidTicket(item.agent, item.ticket, (outcome) => told.push({ ticket: item.ticket, outcome }))
    },
    [StepKind.CrashEntry] (pick) {
      const entry = entries.get(entryAt(pick))
      entry?.stop()
      for (const [requestId, item] of answers) if (item.entry === entry) gone.add(requestId)
      startEntry(entryAt(pick))
    },
    [StepKind.CrashAgent] (pick) {
      agents.get(agentAt(pick))?.stop()
      crashed.add(agentAt(pick))
      startAgent(agentAt(pick))
    },
    [StepKind.Cut] (pick, ms) {
      network.cut(entryAt(pick), agentAt(pick >> 1), ms)
      network.cut(agentAt(pick >> 1), entryAt(pick), ms)
    },
    [StepKind.CutOneWay]: (pick, ms) => network.cut(agentAt(pick >> 1), entryAt(pick), ms),
    [StepKind.PauseEntry]: (pick, ms) => network.pause(entryAt(pick), ms),
    [StepKind.PauseAgent] (pick, ms) {
      const agent = agents.get(agentAt(pick))
      network.pause(agentAt(pick), ms)
      if (ms > leaseMs) network.after(agentAt(pick), 0, () => agent?.wokeLate())
    }
  }

  function checkAnswers (): void {
    for (const [requestId, { answer }] of answers) {
      assert.deepEqual(answer.tokens, answer.tokens.map((_token, i) => `w${i}`), `${requestId} got tokens out of order`)
      assert.ok(answer.ends <= 1, `${requestId} was answered twice`)
      if (answer.ends === 1) assert.equal(answer.tokens.length, answerTokens, `${requestId} ended before its last token`)
      const hasEnded = answer.ends > 0 || answer.refused !== undefined || answer.broken
      assert.ok(hasEnded || gone.has(requestId), `${requestId} never ended`)
      const ran = [...engines.values()].some((engine) => engine.ran.has(requestId))
      if (answer.refused === Outcome.NotRun) assert.ok(!ran, `${requestId} ran although its caller was told not_run`)
    }
  }

  function checkMemory (): void {
    for (const name of agentNames) {
      assert.deepEqual(engines.get(name)?.held(), [], `the engine beside ${name} holds memory for nobody`)
      assert.deepEqual(agents.get(name)?.table.snapshot(), [], `the table of ${name} holds memory for nobody`)
    }
  }

  /** A start call that outlives its agent may fill a seat that the next incarnation sees free; nothing else may. */
  function checkSeats (): void {
    for (const [name, engine] of engines) {
      if (!crashed.has(name)) assert.equal(engine.overfull(), 0, `${name} admitted more work than its engine has seats`)
    }
  }

  function checkTickets (): void {
    for (const [ticket, count] of runs) assert.ok(count <= 1, `ticket ${ticket} ran ${count} times`)
    for (const { ticket, outcome } of told) {
      const count = runs.get(ticket) ?? 0
      if (outcome === Outcome.NotRun) assert.equal(count, 0, `ticket ${ticket} ran although a caller was told not_run`)
      if (outcome === Outcome.Done) assert.equal(count, 1, `ticket ${ticket} did not run although a caller was told done`)
    }
  }

  agentNames.forEach(startAgent)
  entryNames.forEach(startEntry)
  for (const { kind, waitMs, pick, ms } of schedule.steps) {
    timer.advance(waitMs)
    steps[kind](pick, ms)
  }
  network.heal()
  timer.advance(quietMs)
  checkAnswers()
  checkMemory()
  checkSeats()
  checkTickets()
  const all = [...answers.values()].map((item) => item.answer)
  return {
    complete: all.filter((answer) => answer.ends === 1).length,
    refused: all.filter((answer) => answer.refused !== undefined).length,
    runs: runs.size
  }
}
