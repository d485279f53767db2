/**
 * How each fault of the matrix is caused and undone.
 */
import { FaultKind } from '../faults/mod.ts'
import { Fault, callSteps, Step } from './_cells.ts'
import { backendsOf, sleep } from './_world.ts'
import { voidTicket } from '../caller/mod.ts'
import type { Cell } from './_world.ts'

/** Time in milliseconds for which a process is frozen: more than the lease and the stall time together. */
const freezeMs = 2500
const lateMs = 300
const cutMs = 300
const againMs = 100
const stallMs = 1500
const configFaultMs = 500
const entryName = 'entry/entry-1'
const raceKey = 'policy/default'

async function kill (cell: Cell, name: string): Promise<void> {
  await cell.deployment.kill(name)
  cell.heals.push(() => ensureRunning(cell, name))
}

/** Starts a process again unless it runs. */
export async function ensureRunning (cell: Cell, name: string): Promise<void> {
  if (!cell.deployment.process(name).isRunning()) await cell.deployment.restart(name)
}

async function freeze (cell: Cell, name: string): Promise<void> {
  const item = cell.deployment.process(name)
  item.signal('SIGSTOP')
  const thaw = cell.deployment.timer.after(freezeMs, () => { item.signal('SIGCONT') })
  cell.heals.push(async () => {
    await sleep(cell, freezeMs)
    thaw.cancel()
    item.signal('SIGCONT')
  })
}

/** Remembers what a backend server counted, since its counts end with it. */
async function remember (cell: Cell, backend: string): Promise<void> {
  const { deployment } = cell
  const name = `backend/${backend}`
  const isService = backendsOf(cell, ['service']).includes(backend)
  const counted = isService
    ? (await deployment.control(name, '/runs')).runs as Record<string, number>
    : await deployment.control(name, '/ran') as Record<string, number>
  const before = isService ? cell.runsBefore : cell.ranBefore
  for (const [key, count] of Object.entries(counted)) before.set(key, (before.get(key) ?? 0) + count)
}

async function standInFault (cell: Cell, name: string, kind: FaultKind, ms: number): Promise<void> {
  await cell.deployment.fault(name, kind, ms)
  cell.heals.push(() => cell.deployment.fault(name, FaultKind.Clear))
}

async function onEngines (cell: Cell, roles: string[], kind: FaultKind, ms: number): Promise<void> {
  for (const backend of backendsOf(cell, roles)) await standInFault(cell, `backend/${backend}`, kind, ms)
}

/** Two operators read the same revision and write; one must be refused, and the other's write comes into force. */
async function race (cell: Cell): Promise<void> {
  const { deployment } = cell
  const page = await deployment.control('config', '/v1/records') as { changes: Array<{ key: string, revision: number, value: string }> }
  const record = page.changes.find((change) => change.key === raceKey)
  if (!record) throw new Error(`record "${raceKey}" does not exist`)
  const value = JSON.parse(record.value) as { retryBudget: number }
  const writes = await Promise.all([1, 2].map((i) => {
    return deployment.writeRecord(raceKey, { ...value, affinitySeats: i }, record.revision)
  }))
  const statuses = writes.map((item) => item.status).toSorted()
  if (statuses.join(' ') !== '200 409') throw new Error(`racing writes were answered with ${statuses.join(' ')}`)
}

async function leave (cell: Cell): Promise<void> {
  if (cell.step !== Step.TicketIssued) {
    cell.abort.abort()
    return
  }
  const { deployment, ticket } = cell
  const address = deployment.entryAddress(0)
  const answer = await voidTicket({ address, key: deployment.firm.paidKey, ticket })
  cell.ticketVoided = answer.outcome === 'not_run'
}

async function changeWhile (cell: Cell, kind: FaultKind): Promise<void> {
  await standInFault(cell, 'config', kind, configFaultMs)
  const key = 'caller/passager'
  const { deployment } = cell
  await deployment.writeRecord(key, {
    schema: 1, tier: deployment.firm.freeTier, keyHash: '0'.repeat(64), requestsPerS: 1, tokensPerS: 1, concurrency: 1
  })
}

/** Causes each fault; what it pushes to `heals` undoes it. */
export const causes: { [F in Fault]: (cell: Cell) => Promise<void> } = {
  [Fault.None]: async () => {},
  [Fault.KillEntry]: (cell) => kill(cell, entryName),
  [Fault.KillAgent]: (cell) => kill(cell, `agent/${cell.target}`),
  [Fault.RestartAgent]: async (cell) => {
    await kill(cell, `agent/${cell.target}`)
    await ensureRunning(cell, `agent/${cell.target}`)
  },
  [Fault.RestartAgentTwice]: async (cell) => {
    await causes[Fault.RestartAgent](cell)
    await sleep(cell, againMs)
    await causes[Fault.RestartAgent](cell)
  },
  [Fault.CutBackendTwice]: async (cell) => {
    await causes[Fault.CutBackend](cell)
    await sleep(cell, cutMs + againMs)
    await causes[Fault.CutBackend](cell)
  },
  [Fault.FreezeEntryKillAgent]: async (cell) => {
    await causes[Fault.FreezeEntry](cell)
    await causes[Fault.KillAgent](cell)
  },
  [Fault.KillBackend]: async (cell) => {
    await remember(cell, cell.target)
    await kill(cell, `backend/${cell.target}`)
  },
  [Fault.FreezeEntry]: (cell) => freeze(cell, entryName),
  [Fault.FreezeAgent]: (cell) => freeze(cell, `agent/${cell.target}`),
  [Fault.FreezeBackend]: (cell) => freeze(cell, `backend/${cell.target}`),
  [Fault.StallTransfer]: (cell) => onEngines(cell, ['prefill'], FaultKind.StallTransfer, stallMs),
  [Fault.CallerCancels]: leave,
  [Fault.ConfigDown]: (cell) => changeWhile(cell, FaultKind.Down),
  [Fault.ConfigStale]: (cell) => changeWhile(cell, FaultKind.Stale),
  [Fault.HostsStale]: (cell) => standInFault(cell, 'hosts', FaultKind.Stale, 0),
  [Fault.OperatorsRace]: race,
  [Fault.Crossed]: (cell) => onEngines(cell, ['decode'], FaultKind.DuplicateAndReorder, 0),
  [Fault.Late]: (cell) => onEngines(cell, callSteps.has(cell.step) ? ['service'] : ['prefill', 'decode'], FaultKind.Delay, lateMs),
  [Fault.CutBackend]: (cell) => standInFault(cell, `backend/${cell.target}`, FaultKind.ClosePort, cutMs)
}
