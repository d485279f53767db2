/**
 * Runs a schedule of work and faults on simulated processes that use the real core objects, and checks the invariants.
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
import type { CallerAnswer, Entry } from './_entry.ts'

const agentNames = ['d1', 'd2', 'p1', 'p2']
const entryNames = ['e1', 'e2']
const seats = 2
const maxDelayMs = 30
/** Time in milliseconds after the last fault within which every engine must be idle and every answer must have ended. */
const recoveryMs = 2000

/** Kinds of steps of a schedule. */
export enum StepKind {
  Request = 'request',
  DisconnectCaller = 'caller_gone',
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

/** A step: after `waitMs` milliseconds, something happens to the process or request that `pick` selects. */
export interface Step {
  kind: StepKind
  waitMs: number
  pick: number
  /** Duration of a cut or pause in milliseconds. */
  ms: number
}

/** Steps, and the seed for the random numbers of the simulation. */
export interface Schedule {
  seed: number
  steps: Step[]
}

interface ReportedOutcome {
  ticket: string
  outcome: Outcome
}

/** Counts of results, with which a test can check that schedules reach them at all. */
export interface ScheduleCounts {
  /** Requests with a complete answer. */
  complete: number
  /** Requests that were refused. */
  refused: number
  /** Tickets under which a call ran. */
  runs: number
}

/** Runs a schedule; throws an assertion error when an invariant is violated. */
export function runSchedule (schedule: Schedule): ScheduleCounts {
  const timer = createManualTimer()
  const rng = xoroshiro128plus(schedule.seed)
  const random = () => uniformFloat64(rng)
  const network = createNetwork({ timer, random, loss: 0.03, duplicates: 0.03, maxDelayMs })
  const agents = new Map<string, Agent>()
  const engines = new Map<string, Engine>()
  const entries = new Map<string, Entry>()
  const crashed = new Set<string>()
  const disconnected = new Set<string>()
  const answers = new Map<string, { answer: CallerAnswer, entry: Entry }>()
  const issued: Array<{ agent: string, ticket: string }> = []
  const reported: ReportedOutcome[] = []
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

  const pickAgent = (pick: number) => agentNames[pick % agentNames.length] ?? ''
  const pickEntry = (pick: number) => entryNames[pick % entryNames.length] ?? ''
  const policies = Object.values(ReservePolicy)

  const steps: { [K in StepKind]: (pick: number, ms: number) => void } = {
    [StepKind.Request] (pick) {
      const entry = entries.get(pickEntry(pick))
      const policy = policies[pick % policies.length]
      if (entry === undefined || policy === undefined) return
      const requestId = `r${answers.size}`
      answers.set(requestId, { answer: entry.startRequest(requestId, policy), entry })
    },
    [StepKind.DisconnectCaller] (pick) {
      const requestId = `r${pick % Math.max(1, answers.size)}`
      answers.get(requestId)?.entry.disconnectCaller(requestId)
      disconnected.add(requestId)
    },
    [StepKind.Ticket]: (pick) => agents.get(pickAgent(pick))?.issueTicket((ticket) => issued.push({ agent: pickAgent(pick), ticket })),
    [StepKind.Call] (pick) {
      const item = issued[pick % Math.max(1, issued.length)]
      const report = (outcome: Outcome) => { if (item !== undefined) reported.push({ ticket: item.ticket, outcome }) }
      if (item !== undefined) for (const entry of entries.values()) entry.call(item.agent, item.ticket, report)
    },
    [StepKind.Void] (pick) {
      const item = issued[pick % Math.max(1, issued.length)]
      if (item === undefined) return
      entries.get(pickEntry(pick))?.voidTicket(item.agent, item.ticket, (outcome) => reported.push({ ticket: item.ticket, outcome }))
    },
    [StepKind.CrashEntry] (pick) {
      const entry = entries.get(pickEntry(pick))
      entry?.stop()
      for (const [requestId, item] of answers) if (item.entry === entry) disconnected.add(requestId)
      startEntry(pickEntry(pick))
    },
    [StepKind.CrashAgent] (pick) {
      agents.get(pickAgent(pick))?.stop()
      crashed.add(pickAgent(pick))
      startAgent(pickAgent(pick))
    },
    [StepKind.Cut] (pick, ms) {
      network.cutLink(pickEntry(pick), pickAgent(pick >> 1), ms)
      network.cutLink(pickAgent(pick >> 1), pickEntry(pick), ms)
    },
    [StepKind.CutOneWay]: (pick, ms) => network.cutLink(pickAgent(pick >> 1), pickEntry(pick), ms),
    [StepKind.PauseEntry]: (pick, ms) => network.pauseProcess(pickEntry(pick), ms),
    [StepKind.PauseAgent] (pick, ms) {
      const agent = agents.get(pickAgent(pick))
      network.pauseProcess(pickAgent(pick), ms)
      if (ms > leaseMs) network.runAfter(pickAgent(pick), 0, () => agent?.expireAllLeases())
    }
  }

  function checkAnswers (): void {
    for (const [requestId, { answer }] of answers) {
      assert.deepEqual(answer.tokens, answer.tokens.map((_token, i) => `w${i}`), `${requestId} received tokens out of order`)
      assert.ok(answer.endCount <= 1, `${requestId} was completed more than once`)
      if (answer.endCount === 1) assert.equal(answer.tokens.length, answerTokens, `${requestId} was completed without its last token`)
      const hasEnded = answer.endCount > 0 || answer.refusalOutcome !== undefined || answer.isAborted
      assert.ok(hasEnded || disconnected.has(requestId), `${requestId} never ended`)
      const hasRun = [...engines.values()].some((engine) => engine.ranRequests.has(requestId))
      if (answer.refusalOutcome === Outcome.NotRun) assert.ok(!hasRun, `${requestId} ran although its caller received the outcome not_run`)
    }
  }

  function checkMemory (): void {
    for (const name of agentNames) {
      assert.deepEqual(engines.get(name)?.listHeld(), [], `the engine of ${name} still holds memory`)
      assert.deepEqual(agents.get(name)?.table.snapshot(), [], `the reservation table of ${name} still holds memory`)
    }
  }

  /**
   * Checks that no agent started more work than its engine has seats. An agent that crashed is exempt: a start call that is in
   * flight during the crash may take a seat that the next incarnation considers free.
   */
  function checkSeats (): void {
    for (const [name, engine] of engines) {
      if (!crashed.has(name)) assert.equal(engine.countStartsWithoutSeat(), 0, `${name} started more work than its engine has seats`)
    }
  }

  function checkTickets (): void {
    for (const [ticket, count] of runs) assert.ok(count <= 1, `ticket ${ticket} ran ${count} times`)
    for (const { ticket, outcome } of reported) {
      const count = runs.get(ticket) ?? 0
      if (outcome === Outcome.NotRun) assert.equal(count, 0, `ticket ${ticket} ran although a caller received the outcome not_run`)
      if (outcome === Outcome.Done) assert.equal(count, 1, `ticket ${ticket} did not run although a caller received the outcome done`)
    }
  }

  agentNames.forEach(startAgent)
  entryNames.forEach(startEntry)
  for (const { kind, waitMs, pick, ms } of schedule.steps) {
    timer.advance(waitMs)
    steps[kind](pick, ms)
  }
  network.heal()
  timer.advance(recoveryMs)
  checkAnswers()
  checkMemory()
  checkSeats()
  checkTickets()
  const all = [...answers.values()].map((item) => item.answer)
  return {
    complete: all.filter((answer) => answer.endCount === 1).length,
    refused: all.filter((answer) => answer.refusalOutcome !== undefined).length,
    runs: runs.size
  }
}
