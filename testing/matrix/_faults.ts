/**
 * Causes each fault of the matrix and records how to undo it.
 */
import { FaultKind } from '../faults/mod.ts'
import { Fault, serviceCallSteps, Step } from './_cells.ts'
import { listBackends, sleep } from './_world.ts'
import { voidTicket } from '../caller/mod.ts'
import type { Cell } from './_world.ts'

/** Time in milliseconds for which a process is frozen: more than the lease and the stall time together. */
const freezeMs = 2500
/** Added latency of a delayed backend server. */
const responseDelayMs = 300
const portClosedMs = 300
/** Pause before a fault is caused the second time. */
const repeatDelayMs = 100
const transferStallMs = 1500
const configFaultMs = 500
const entryName = 'entry/entry-1'
const contestedKey = 'policy/default'

/** Kills a process; the undo action starts it again. */
async function killProcess (cell: Cell, name: string): Promise<void> {
  await cell.deployment.kill(name)
  cell.undoActions.push(() => ensureRunning(cell, name))
}

/** Starts a process again if it is not running. */
export async function ensureRunning (cell: Cell, name: string): Promise<void> {
  if (!cell.deployment.getProcess(name).isRunning()) await cell.deployment.restart(name)
}

/** Suspends a process with SIGSTOP and resumes it after `freezeMs`; the undo action waits for that time. */
async function freezeProcess (cell: Cell, name: string): Promise<void> {
  const item = cell.deployment.getProcess(name)
  item.signal('SIGSTOP')
  const resumption = cell.deployment.timer.after(freezeMs, () => { item.signal('SIGCONT') })
  cell.undoActions.push(async () => {
    await sleep(cell, freezeMs)
    resumption.cancel()
    item.signal('SIGCONT')
  })
}

/** Adds the counts of a backend server to the cell, because they are lost when its process is killed. */
async function saveCounts (cell: Cell, backend: string): Promise<void> {
  const { deployment } = cell
  const name = `backend/${backend}`
  const isService = listBackends(cell, ['service']).includes(backend)
  const counted = isService
    ? (await deployment.readControlPage(name, '/runs')).runs as Record<string, number>
    : await deployment.readControlPage(name, '/ran') as Record<string, number>
  const before = isService ? cell.runsBeforeKill : cell.prefillsBeforeKill
  for (const [key, count] of Object.entries(counted)) before.set(key, (before.get(key) ?? 0) + count)
}

/** Switches on a fault of a stand-in for `ms` milliseconds, or until the undo action when `ms` is 0. */
async function switchFaultOn (cell: Cell, name: string, kind: FaultKind, ms: number): Promise<void> {
  await cell.deployment.setFault(name, kind, ms)
  cell.undoActions.push(() => cell.deployment.setFault(name, FaultKind.Clear))
}

/** Switches on a fault at all backend servers of some roles. */
async function switchFaultOnAt (cell: Cell, roles: string[], kind: FaultKind, ms: number): Promise<void> {
  for (const backend of listBackends(cell, roles)) await switchFaultOn(cell, `backend/${backend}`, kind, ms)
}

/** Sends two conditional writes of a record at the same revision; fails unless exactly one is refused. */
async function writeConcurrently (cell: Cell): Promise<void> {
  const { deployment } = cell
  const page = await deployment.readControlPage('config', '/v1/records') as {
    changes: Array<{ key: string, revision: number, value: string }>
  }
  const record = page.changes.find((change) => change.key === contestedKey)
  if (!record) throw new Error(`record "${contestedKey}" does not exist`)
  const value = JSON.parse(record.value) as { retryBudget: number }
  const writes = await Promise.all([1, 2].map((i) => {
    return deployment.writeRecord(contestedKey, { ...value, affinitySeats: i }, record.revision)
  }))
  const statuses = writes.map((item) => item.status).toSorted()
  if (statuses.join(' ') !== '200 409') throw new Error(`two writes at the same revision returned ${statuses.join(' ')}`)
}

/** Cancels the request of the caller; at the step without an open request, the caller voids its ticket instead. */
async function disconnectCaller (cell: Cell): Promise<void> {
  if (cell.step !== Step.TicketIssued) {
    cell.callerAbort.abort()
    return
  }
  const { deployment, ticket } = cell
  const address = deployment.getEntryAddress(0)
  const response = await voidTicket({ address, key: deployment.firm.paidKey, ticket })
  cell.isTicketVoided = response.outcome === 'not_run'
}

/** Writes a record while the configuration service has a fault. */
async function writeRecordDuring (cell: Cell, kind: FaultKind): Promise<void> {
  await switchFaultOn(cell, 'config', kind, configFaultMs)
  const key = 'caller/passager'
  const { deployment } = cell
  await deployment.writeRecord(key, {
    schema: 1, tier: deployment.firm.freeTier, keyHash: '0'.repeat(64), requestsPerS: 1, tokensPerS: 1, concurrency: 1
  })
}

/** Causes each fault in a cell and adds to `undoActions` what undoes it. */
export const faultInjectors: { [F in Fault]: (cell: Cell) => Promise<void> } = {
  [Fault.None]: async () => {},
  [Fault.KillEntry]: (cell) => killProcess(cell, entryName),
  [Fault.KillAgent]: (cell) => killProcess(cell, `agent/${cell.targetBackend}`),
  [Fault.RestartAgent]: async (cell) => {
    await killProcess(cell, `agent/${cell.targetBackend}`)
    await ensureRunning(cell, `agent/${cell.targetBackend}`)
  },
  [Fault.RestartAgentTwice]: async (cell) => {
    await faultInjectors[Fault.RestartAgent](cell)
    await sleep(cell, repeatDelayMs)
    await faultInjectors[Fault.RestartAgent](cell)
  },
  [Fault.CloseBackendPortTwice]: async (cell) => {
    await faultInjectors[Fault.CloseBackendPort](cell)
    await sleep(cell, portClosedMs + repeatDelayMs)
    await faultInjectors[Fault.CloseBackendPort](cell)
  },
  [Fault.FreezeEntryKillAgent]: async (cell) => {
    await faultInjectors[Fault.FreezeEntry](cell)
    await faultInjectors[Fault.KillAgent](cell)
  },
  [Fault.KillBackend]: async (cell) => {
    await saveCounts(cell, cell.targetBackend)
    await killProcess(cell, `backend/${cell.targetBackend}`)
  },
  [Fault.FreezeEntry]: (cell) => freezeProcess(cell, entryName),
  [Fault.FreezeAgent]: (cell) => freezeProcess(cell, `agent/${cell.targetBackend}`),
  [Fault.FreezeBackend]: (cell) => freezeProcess(cell, `backend/${cell.targetBackend}`),
  [Fault.StallTransfer]: (cell) => switchFaultOnAt(cell, ['prefill'], FaultKind.StallTransfer, transferStallMs),
  [Fault.CallerDisconnects]: disconnectCaller,
  [Fault.ConfigDown]: (cell) => writeRecordDuring(cell, FaultKind.Down),
  [Fault.ConfigStale]: (cell) => writeRecordDuring(cell, FaultKind.Stale),
  [Fault.HostListStale]: (cell) => switchFaultOn(cell, 'hosts', FaultKind.Stale, 0),
  [Fault.ConflictingWrites]: writeConcurrently,
  [Fault.DuplicateAndReorder]: (cell) => switchFaultOnAt(cell, ['decode'], FaultKind.DuplicateAndReorder, 0),
  [Fault.DelayedResponses]: (cell) => switchFaultOnAt(
    cell, serviceCallSteps.has(cell.step) ? ['service'] : ['prefill', 'decode'], FaultKind.Delay, responseDelayMs
  ),
  [Fault.CloseBackendPort]: (cell) => switchFaultOn(cell, `backend/${cell.targetBackend}`, FaultKind.ClosePort, portClosedMs)
}
