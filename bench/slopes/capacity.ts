/**
 * Estimates what an entry and an agent spend at the full size, from the slopes in out/slopes.json, and prints the tables of
 * docs/CAPACITY.md.
 */
import { readFileSync } from 'node:fs'
import type { Fit } from './_fit.ts'

/** An estimated amount and its standard error. */
interface Amount {
  value: number
  error: number
}

/** The cost of one kind of control traffic or periodic work at one process. */
interface Item {
  what: string
  /** Messages per second. */
  messages: number
  bytesPerS: Amount
  /** Microseconds of processor time per second. */
  micros: Amount
}

const { rows } = JSON.parse(readFileSync('out/slopes.json', 'utf8')) as { rows: Array<Fit & { name: string }> }

const entryCount = 430
const agentCount = 4700
const hostCount = entryCount + agentCount
const regionCount = 5
const requestsPerS = 33_000
const tokensPerS = 12e6
const betweenTokensS = 0.03
const firstTokenS = 1.2
const callerCount = 260
const configChangesPerS = 23_000 / 86_400
const decodeAgentCount = agentCount * 0.6
/** Load reports per second to one listener: one per two heartbeats, because there are more than 20 listeners (`agent/_load_task.ts`). */
const loadReportsPerS = 1
const heartbeatsPerS = 2
const usageSharesPerS = 5
/** Other entries that an entry exchanges usage with. */
const peerEntryCount = 16
const prefixCount = 64
/** All processes together read the host list at most 500 times per second (`daemon/_poll_hosts.ts`). */
const hostListReadIntervalS = hostCount / 500
const subsetRefreshIntervalS = 5
const placementIntervalS = 1
const membershipTicksPerS = 4
/** Mean time that a stream generates tokens. */
const streamDurationS = tokensPerS / requestsPerS * betweenTokensS
const inFlightRequests = requestsPerS * (streamDurationS + firstTokenS)

/** Returns the fit of a slope; throws when out/slopes.json does not have it. */
function getFit (name: string): Fit {
  const row = rows.find((candidate) => candidate.name === name)
  if (row === undefined) throw new Error(`slope "${name}" does not exist in out/slopes.json`)
  return row
}

/** Returns the value of the fitted line at x. */
function evaluateFit (name: string, x: number): Amount {
  const { slope, intercept, slopeError, interceptError } = getFit(name)
  return { value: intercept + slope * x, error: Math.hypot(interceptError, slopeError * x) }
}

/** Returns the slope alone, for costs without a fixed part. */
function getSlope (name: string): Amount {
  const { slope, slopeError } = getFit(name)
  return { value: slope, error: slopeError }
}

function scaleAmount (amount: Amount, factor: number): Amount {
  return { value: amount.value * factor, error: amount.error * factor }
}

/** Adds amounts; their errors are independent and add as squares. */
function addAmounts (...amounts: Amount[]): Amount {
  return {
    value: amounts.reduce((total, { value }) => total + value, 0),
    error: Math.hypot(...amounts.map(({ error }) => error))
  }
}

/** Interpolates the processor time of a heartbeat with `live` attempts from the measured ones with 0 and 40. */
function heartbeatMicros (direction: string, live: number): Amount {
  const empty = getSlope(`cpu to ${direction} heartbeat, 0 live`)
  const full = getSlope(`cpu to ${direction} heartbeat, 40 live`)
  return { value: empty.value + (full.value - empty.value) * live / 40, error: Math.hypot(empty.error, full.error) }
}

const noAmount: Amount = { value: 0, error: 0 }
const agentsPerEntry = evaluateFit('connections of an entry to agents, mean', agentCount).value
const entriesPerAgent = evaluateFit('connections of an agent to entries, mean', agentCount).value
const inFlightPerEntry = inFlightRequests / entryCount
const inFlightPerDecodeAgent = inFlightRequests / decodeAgentCount

/** Lists the control traffic that entries and agents have in common. */
function listCommonItems (connections: number): Item[] {
  const hostListMicros = addAmounts(scaleAmount(getSlope('cpu to read and check the host list'), hostCount),
    scaleAmount(getSlope('cpu to take in a host list'), hostCount),
    scaleAmount(getSlope('cpu to choose relay peers'), hostCount))
  const tickMicros = addAmounts(scaleAmount(getSlope('cpu to tick the membership, listed members'), hostCount),
    scaleAmount(getSlope('cpu to tick the membership, connected members'), connections))
  return [
    {
      what: 'configuration digests',
      messages: 8,
      bytesPerS: evaluateFit('relay fleet: bytes sent a second and process', 0),
      micros: scaleAmount(getSlope('cpu to receive digest and reply'), 8)
    },
    {
      what: 'configuration changes',
      messages: configChangesPerS * 5,
      bytesPerS: scaleAmount(evaluateFit('relay fleet: bytes sent a change and process', 0), configChangesPerS),
      micros: scaleAmount(getSlope('cpu to receive a change, apply and push to 4'), configChangesPerS)
    },
    {
      what: `host list, read every ${hostListReadIntervalS.toFixed(1)} s`,
      messages: 1 / hostListReadIntervalS,
      bytesPerS: scaleAmount(evaluateFit('bytes of the host list', hostCount), 1 / hostListReadIntervalS),
      micros: scaleAmount(hostListMicros, 1 / hostListReadIntervalS)
    },
    { what: 'membership ticks', messages: 0, bytesPerS: noAmount, micros: scaleAmount(tickMicros, membershipTicksPerS) }
  ]
}

function listEntryItems (): Item[] {
  const loadReports = agentsPerEntry * loadReportsPerS
  const heartbeats = agentsPerEntry * heartbeatsPerS
  const livePerHeartbeat = (inFlightPerEntry + requestsPerS / entryCount) / agentsPerEntry
  const usageShares = peerEntryCount * usageSharesPerS
  const subsetMicros = addAmounts(scaleAmount(getSlope('cpu to choose a subset among 86 entries'), agentCount / regionCount),
    scaleAmount(getSlope('cpu to choose a subset among 430 entries'), agentCount * (1 - 1 / regionCount)))
  return [
    {
      what: 'load reports received',
      messages: loadReports,
      bytesPerS: scaleAmount(evaluateFit('bytes of load', prefixCount), loadReports),
      micros: scaleAmount(getSlope('cpu to receive load, 64 prefixes'), loadReports)
    },
    {
      what: 'heartbeats sent',
      messages: heartbeats,
      bytesPerS: scaleAmount(evaluateFit('bytes of heartbeat', livePerHeartbeat), heartbeats),
      micros: scaleAmount(heartbeatMicros('send', livePerHeartbeat), heartbeats)
    },
    {
      what: 'usage sent',
      messages: usageShares,
      bytesPerS: scaleAmount(evaluateFit('bytes of usage', callerCount), usageShares),
      micros: scaleAmount(getSlope('cpu to send usage, 260 callers'), usageShares)
    },
    {
      what: 'usage received',
      messages: usageShares,
      bytesPerS: scaleAmount(evaluateFit('bytes of usage', callerCount), usageShares),
      micros: scaleAmount(getSlope('cpu to receive usage, 260 callers'), usageShares)
    },
    ...listCommonItems(agentsPerEntry + peerEntryCount),
    { what: 'choice of the subset', messages: 0, bytesPerS: noAmount, micros: scaleAmount(subsetMicros, 1 / subsetRefreshIntervalS) }
  ]
}

function listAgentItems (): Item[] {
  const loadReports = entriesPerAgent * loadReportsPerS
  const heartbeats = entriesPerAgent * heartbeatsPerS
  const livePerHeartbeat = inFlightPerDecodeAgent / entriesPerAgent
  return [
    {
      what: 'load reports sent',
      messages: loadReports,
      bytesPerS: scaleAmount(evaluateFit('bytes of load', prefixCount), loadReports),
      micros: scaleAmount(getSlope('cpu to send load, 64 prefixes'), loadReports)
    },
    {
      what: 'heartbeats received',
      messages: heartbeats,
      bytesPerS: scaleAmount(evaluateFit('bytes of heartbeat', livePerHeartbeat), heartbeats),
      micros: scaleAmount(heartbeatMicros('receive', livePerHeartbeat), heartbeats)
    },
    ...listCommonItems(entriesPerAgent),
    {
      what: 'placement, once a second',
      messages: 0,
      bytesPerS: noAmount,
      micros: scaleAmount(getSlope('cpu to work out the placement'), agentCount / placementIntervalS)
    }
  ]
}

function listMemoryItems (role: 'entry' | 'agent'): Array<[string, Amount]> {
  const connections = role === 'entry' ? agentsPerEntry + peerEntryCount : entriesPerAgent
  const commonItems: Array<[string, Amount]> = [
    ['the idle process, resident', getSlope(`resident memory of an idle ${role}`)],
    ['connections', scaleAmount(getSlope('memory of a connection'), connections + 5)],
    ['backend records', scaleAmount(getSlope('memory of a backend record'), agentCount)],
    ['caller records', scaleAmount(getSlope('memory of a caller record'), callerCount)],
    ['members', scaleAmount(getSlope('memory of a member'), hostCount)]
  ]
  const roleItems: Array<[string, Amount]> = role === 'entry'
    ? [['requests in flight', scaleAmount(getSlope('memory of a request in flight at the entry'), inFlightPerEntry)],
        ['usage of callers', scaleAmount(getSlope('memory of a caller\'s usage with 8 fellows'), callerCount)]]
    : [['reservations', scaleAmount(getSlope('memory of a reservation'), inFlightPerDecodeAgent)]]
  return [...commonItems, ...roleItems]
}

/** Formats an amount and its error in multiples of `unit`. */
function formatAmount ({ value, error }: Amount, unit: number): string {
  return `${(value / unit).toFixed(2)} ± ${(error / unit).toFixed(2)}`
}

function printItems (role: string, items: Item[]): void {
  console.log(`\n### ${role}: control traffic\n`)
  console.log('| what | messages a second | KB a second | % of a core |\n|---|---|---|---|')
  for (const { what, messages, bytesPerS, micros } of items) {
    console.log(`| ${what} | ${messages.toFixed(1)} | ${formatAmount(bytesPerS, 1000)} | ${formatAmount(micros, 10_000)} |`)
  }
  const bytes = addAmounts(...items.map(({ bytesPerS }) => bytesPerS))
  const micros = addAmounts(...items.map((item) => item.micros))
  const messages = items.reduce((total, item) => total + item.messages, 0)
  console.log(`| **all** | ${messages.toFixed(0)} | **${formatAmount(bytes, 1000)}** | **${formatAmount(micros, 10_000)}** |`)
}

function printMemory (role: 'entry' | 'agent'): void {
  const items = listMemoryItems(role)
  console.log(`\n### ${role}: memory\n\n| what | MB |\n|---|---|`)
  for (const [what, amount] of items) console.log(`| ${what} | ${formatAmount(amount, 1e6)} |`)
  console.log(`| **all** | **${formatAmount(addAmounts(...items.map(([, amount]) => amount)), 1e6)}** |`)
}

console.log(`in flight ${inFlightRequests.toFixed(0)}, at an entry ${inFlightPerEntry.toFixed(0)}, at a decode agent ${inFlightPerDecodeAgent.toFixed(0)}`)
console.log(`connections: entry to agents ${agentsPerEntry.toFixed(0)}, agent to entries ${entriesPerAgent.toFixed(1)}`)
printItems('Entry', listEntryItems())
printMemory('entry')
printItems('Agent', listAgentItems())
printMemory('agent')
const requestMicros = addAmounts(scaleAmount(evaluateFit('cpu of a token message of a request', 0), requestsPerS / entryCount),
  scaleAmount(getSlope('cpu of a token message of a request'), tokensPerS / entryCount))
console.log(`\ndata path of an entry, a message for each token: ${formatAmount(requestMicros, 10_000)} % of a core`)
