/**
 * Simulated entries that exchange usage messages over a network with delays and partitions, and that join and leave.
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
  /** Number of the network partition; members of different partitions receive no messages of each other. */
  partition: number
  /** Times in milliseconds at which the running requests end. */
  running: number[]
}

/** A request that was admitted. */
export interface AdmittedRequest {
  atMs: number
  tokens: number
}

/** Runs entries in simulated time. */
export interface SimulatedEntries {
  members: Member[]
  admitted: AdmittedRequest[]
  join (): void
  leave (): void
  /** Tells every entry the number of live entries; the host list does so with a delay. */
  updateEntryCounts (): void
  /** Splits the network into partitions; 1 heals it. */
  splitNetwork (partitions: number): void
  /** Offers one request to an entry; it runs for `runMs` milliseconds. */
  offer (index: number, tokens: number, runMs: number): boolean
  countRunning (): number
  nowMs (): number
  advance (ms: number): void
}

/** Creates entries that serve one caller. */
export function createSimulatedEntries (count: number, limit: CallerLimits): SimulatedEntries {
  const members: Member[] = []
  const admitted: AdmittedRequest[] = []
  const inbox: Array<{ dueMs: number, to: Member, msg: UsageShare }> = []
  let nowMs = 0
  let started = 0

  function join (): void {
    const name = `e${started++}`
    const limits = createLimiter({ entry: name, incarnation: started, getLimits: () => limit })
    limits.setEntryCount(members.length + 1)
    members.push({ name, limits, partition: 0, running: [] })
  }

  function updateEntryCounts (): void {
    for (const member of members) member.limits.setEntryCount(members.length)
  }

  function broadcast (from: Member): void {
    const msg = from.limits.createUsageShare(nowMs)
    if (msg.kind !== MessageKind.UsageShare) throw new Error(`expected a message of kind usage_share, got ${msg.kind}`)
    for (const to of members) {
      if (to !== from && to.partition === from.partition) inbox.push({ dueMs: nowMs + delayMs, to, msg })
    }
  }

  function releaseFinished (member: Member): void {
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
      releaseFinished(member)
      // The periods of different entries begin at different times.
      if ((nowMs + i * 37) % periodMs === 0) broadcast(member)
    })
  }

  for (let i = 0; i < count; i++) join()
  updateEntryCounts()
  return {
    members,
    admitted,
    join,
    leave () { if (members.length > 1) members.pop() },
    updateEntryCounts,
    splitNetwork (partitions) { members.forEach((member, i) => { member.partition = i % partitions }) },
    offer (index, tokens, runMs) {
      const member = members[index % members.length]
      if (member === undefined || member.limits.admit('notaires', tokens, nowMs).err) return false
      member.running.push(nowMs + runMs)
      admitted.push({ atMs: nowMs, tokens })
      return true
    },
    countRunning: () => members.reduce((sum, member) => sum + member.running.length, 0),
    nowMs: () => nowMs,
    advance (ms) { for (let i = 0; i < ms; i++) step() }
  }
}
