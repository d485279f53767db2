/**
 * How each fault of the matrix is caused and undone.
 */
import { FaultKind } from '../faults/mod.ts'
import { Fault, serviceCallSteps, Step } from './_cells.ts'
import { listBackends, sleep } from './_world.ts'
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
  cell.undoActions.push(() => ensureRunning(cell, name))
}

/** Starts a process again unless it runs. */
export async function ensureRunning (cell: Cell, name: string): Promise<void> {
  if (!cell.deployment.getProcess(name).isRunning()) await cell.deployment.restart(name)
}

async function freeze (cell: Cell, name: string): Promise<void> {
  const item = cell.deployment.getProcess(name)
  item.signal('SIGSTOP')
  const thaw = cell.deployment.timer.after(freezeMs, () => { item.signal('SIGCONT') })
  cell.undoActions.push(async () => {
    await sleep(cell, freezeMs)
    thaw.cancel()
    item.signal('SIGCONT')
  })
}

/** Remembers what a backend server counted, since its counts end with it. */
async function remember (cell: Cell, backend: string): Promise<void> {
  const { deployment } = cell
  const name = `backend/${backend}`
  const isService = listBackends(cell, ['service']).includes(backend)
  const counted = isService
    ? (await deployment.readControlPage(name, '/runs')).runs as Record<string, number>
    : await deployment.readControlPage(name, '/ran') as Record<string, number>
  const before = isService ? cell.runsBeforeKill : cell.prefillsBeforeKill
  for (const [key, count] of Object.entries(counted)) before.set(key, (before.get(key) ?? 0) + count)
}

async function standInFault (cell: Cell, name: string, kind: FaultKind, ms: number): Promise<void> {
  await cell.deployment.setFault(name, kind, ms)
  cell.undoActions.push(() => cell.deployment.setFault(name, FaultKind.Clear))
}

async function onEngines (cell: Cell, roles: string[], kind: FaultKind, ms: number): Promise<void> {
  for (const backend of listBackends(cell, roles)) await standInFault(cell, `backend/${backend}`, kind, ms)
}

/** Two operators read the same revision and write; one must be refused, and the other's write comes into force. */
async function race (cell: Cell): Promise<void> {
  const { deployment } = cell
  const page = await deployment.readControlPage('config', '/v1/records') as { changes: Array<{ key: string, revision: number, value: string }> }
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
    cell.callerAbort.abort()
    return
  }
  const { deployment, ticket } = cell
  const address = deployment.getEntryAddress(0)
  const answer = await voidTicket({ address, key: deployment.firm.paidKey, ticket })
  cell.isTicketVoided = answer.outcome === 'not_run'
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
export const faultInjectors: { [F in Fault]: (cell: Cell) => Promise<void> } = {
  [Fault.None]: async () => {},
  [Fault.KillEntry]: (cell) => kill(cell, entryName),
  [Fault.KillAgent]: (cell) => kill(cell, `agent/${cell.targetBackend}`),
  [Fault.RestartAgent]: async (cell) => {
    await kill(cell, `agent/${cell.targetBackend}`)
    await ensureRunning(cell, `agent/${cell.targetBackend}`)
  },
  [Fault.RestartAgentTwice]: async (cell) => {
    await faultInjectors[Fault.RestartAgent](cell)
    await sleep(cell, againMs)
    await faultInjectors[Fault.RestartAgent](cell)
  },
  [Fault.CloseBackendPortTwice]: async (cell) => {
    await faultInjectors[Fault.CloseBackendPort](cell)
    await sleep(cell, cutMs + againMs)
    await faultInjectors[Fault.CloseBackendPort](cell)
  },
  [Fault.FreezeEntryKillAgent]: async (cell) => {
    await faultInjectors[Fault.FreezeEntry](cell)
    await faultInjectors[Fault.KillAgent](cell)
  },
  [Fault.KillBackend]: async (cell) => {
    await remember(cell, cell.targetBackend)
    await kill(cell, `backend/${cell.targetBackend}`)
  },
  [Fault.FreezeEntry]: (cell) => freeze(cell, entryName),
  [Fault.FreezeAgent]: (cell) => freeze(cell, `agent/${cell.targetBackend}`),
  [Fault.FreezeBackend]: (cell) => freeze(cell, `backend/${cell.targetBackend}`),
  [Fault.StallTransfer]: (cell) => onEngines(cell, ['prefill'], FaultKind.StallTransfer, stallMs),
  [Fault.CallerDisconnects]: leave,
  [Fault.ConfigDown]: (cell) => changeWhile(cell, FaultKind.Down),
  [Fault.ConfigStale]: (cell) => changeWhile(cell, FaultKind.Stale),
  [Fault.HostListStale]: (cell) => standInFault(cell, 'hosts', FaultKind.Stale, 0),
  [Fault.ConflictingWrites]: race,
  [Fault.DuplicateAndReorder]: (cell) => onEngines(cell, ['decode'], FaultKind.DuplicateAndReorder, 0),
  [Fault.DelayedResponses]: (cell) => onEngines(cell, serviceCallSteps.has(cell.step) ? ['service'] : ['prefill', 'decode'], FaultKind.Delay, lateMs),
  [Fault.CloseBackendPort]: (cell) => standInFault(cell, `backend/${cell.targetBackend}`, FaultKind.ClosePort, cutMs)
}
