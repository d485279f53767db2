/**
 * Several entries that exchange their usage over a network that delays, cuts and loses entries.
 */
import { MessageKind } from '../../wire/mod.ts'
import { createLimiter } from './mod.ts'
import type { UsageShare } from '../../wire/mod.ts'
import type { CallerLimits, Limiter } from './mod.ts'

const periodMs = 200
const delayMs = 25

interface Member {
  name: string
  limits: Limiter
  /** Side of a partition; members of different sides don't hear each other. */
  side: number
  running: number[]
}

/** Counts what was let through at one time. */
export interface Passed {
  atMs: number
  tokens: number
}

/** Runs entries in simulated time. */
export interface SimulatedEntries {
  members: Member[]
  passed: Passed[]
  join (): void
  leave (): void
  /** Tells every entry the number of live entries, as the host list does late. */
  tellCount (): void
  split (sides: number): void
  /** Offers one request to an entry; it runs for `runMs` milliseconds. */
  offer (index: number, tokens: number, runMs: number): boolean
  running (): number
  nowMs (): number
  advance (ms: number): void
}

/** Creates entries that serve one caller. */
export function createSimulatedEntries (count: number, limit: CallerLimits): SimulatedEntries {
  const members: Member[] = []
  const passed: Passed[] = []
  const inbox: Array<{ dueMs: number, to: Member, msg: UsageShare }> = []
  let nowMs = 0
  let started = 0

  function join (): void {
    const name = `e${started++}`
    const limits = createLimiter({ entry: name, incarnation: started, getLimits: () => limit })
    limits.setEntryCount(members.length + 1)
    members.push({ name, limits, side: 0, running: [] })
  }

  function tellCount (): void {
    for (const member of members) member.limits.setEntryCount(members.length)
  }

  function broadcast (from: Member): void {
    const msg = from.limits.createUsageShare(nowMs)
    if (msg.kind !== MessageKind.UsageShare) throw new Error(`message ${msg.kind} is no usage share`)
    for (const to of members) {
      if (to !== from && to.side === from.side) inbox.push({ dueMs: nowMs + delayMs, to, msg })
    }
  }

  function finish (member: Member): void {
    const ended = member.running.filter((endMs) => endMs <= nowMs)
    member.running = member.running.filter((endMs) => endMs > nowMs)
    for (let i = 0; i < ended.length; i++) member.limits.release('notaires')
  }

  function step (): void {
    nowMs += 1
    while (inbox[0] !== undefined && inbox[0].dueMs <= nowMs) {
      const { to, msg } = inbox.shift() ?? inbox[0]
      to.limits.onUsageShare(msg, nowMs)
    }
    members.forEach((member, i) => {
      finish(member)
      // Periods of different entries are not in step.
      if ((nowMs + i * 37) % periodMs === 0) broadcast(member)
    })
  }

  for (let i = 0; i < count; i++) join()
  tellCount()
  return {
    members,
    passed,
    join,
    leave () { if (members.length > 1) members.pop() },
    tellCount,
    split (sides) { members.forEach((member, i) => { member.side = i % sides }) },
    offer (index, tokens, runMs) {
      const member = members[index % members.length]
      if (member === undefined || member.limits.admit('notaires', tokens, nowMs).err) return false
      member.running.push(nowMs + runMs)
      passed.push({ atMs: nowMs, tokens })
      return true
    },
    running: () => members.reduce((sum, member) => sum + member.running.length, 0),
    nowMs: () => nowMs,
    advance (ms) { for (let i = 0; i < ms; i++) step() }
  }
}
