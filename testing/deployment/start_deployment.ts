/**
 * Starts the processes of a deployment in order: stand-ins with their records and host list, agents, entries.
 */
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { request } from 'undici'
import { createSystemTimer } from '../../timer/mod.ts'
import type { Timer } from '../../timer/mod.ts'
import { callService, requestCompletion } from '../caller/mod.ts'
import { queryStatus } from './_query_status.ts'
import { createControlClient } from './_control_client.ts'
import type { ControlClient } from './_control_client.ts'
import type { FirmLayout } from './_firms.ts'
import { buildRecords, buildSettings, createLayout } from './_layout.ts'
import type { Backend, DeploymentOptions, Host, Layout } from './_layout.ts'
import { startProcess } from './_process.ts'
import type { ManagedProcess } from './_process.ts'

/** A running deployment. Its processes are named `config`, `hosts`, `entry/NAME`, `agent/NAME` and `backend/NAME`. */
export interface Deployment extends ControlClient {
  firm: FirmLayout
  layout: Layout
  timer: Timer
  /** Returns a process by name; throws when the deployment has none of that name. */
  getProcess (name: string): ManagedProcess
  /** Lists all processes in the order in which they were started. */
  listProcesses (): ManagedProcess[]
  /** Returns the address `ip:port` of an entry for callers. */
  getEntryAddress (index: number): string
  /** Kills a process with SIGKILL and waits for its exit. */
  kill (name: string): Promise<void>
  /** Suspends a process with SIGSTOP. */
  freeze (name: string): void
  /** Resumes a frozen process with SIGCONT. */
  unfreeze (name: string): void
  /** Starts a process again after its exit; waits until a stand-in listens, an agent has logged `ready`, or an entry is ready to serve. */
  restart (name: string): Promise<void>
  /** Returns the status that an entry or agent reports; undefined when it does not reply. */
  queryStatus (host: Host): Promise<Record<string, unknown> | undefined>
  /** Writes an initial record with some fields changed; changes by earlier calls are undone. */
  updateRecord (key: string, fields: object): Promise<void>
  /** Writes the initial record of a backend server with some fields changed; changes by earlier calls are undone. */
  updateBackendRecord (name: string, fields: object): Promise<void>
  /** Reads the state that an engine reports on its HTTP interface. */
  readEngineState (name: string): Promise<Record<string, unknown>>
  /**
   * Waits until every entry is ready, answers a model request and, when the deployment has plain services, a service call.
   * Rejects when one of these steps takes longer than `timeoutMs` or a process exits first.
   */
  waitUntilServing (timeoutMs: number): Promise<void>
  /** Ends every process with SIGTERM, and with SIGKILL when it has not exited after 5 s; deletes the settings files. */
  stop (): Promise<void>
}

const mainPath = fileURLToPath(new URL('../../cli/main.js', import.meta.url))
const standInPath = fileURLToPath(new URL('../main.js', import.meta.url))
const startTimeoutMs = 20_000
const pollMs = 50
/** Number of output lines of each process that an error quotes. */
const quotedLines = 5
const stopTimeoutMs = 5000

/** Starts a stand-in; `--tied` makes it exit when this process closes its standard input. */
function startStandIn (name: string, kind: string, port: number, options: object, timer: Timer): ManagedProcess {
  const args = [standInPath, kind, '--tied', '--port', String(port), '--options', JSON.stringify(options)]
  return startProcess(name, args, timer)
}

/**
 * Starts a deployment and waits until it serves.
 *
 * @param options the firm, the numbers of hosts, and settings that differ from the defaults
 * @returns the running deployment
 * @throws when a stand-in does not start, an entry does not become ready or a ready entry does not answer, each within 20 s
 *
 * @example
 * ```ts
 * import { Firm, startDeployment } from 'briarloom/testing/deployment'
 *
 * const deployment = await startDeployment({ firm: Firm.Fleuve })
 * console.log(deployment.entryAddress(0))
 * await deployment.stop()
 * ```
 */
export async function startDeployment (options: DeploymentOptions): Promise<Deployment> {
  const timer = createSystemTimer()
  const layout = await createLayout(options)
  const { firm } = layout
  const folder = await mkdtemp(join(tmpdir(), 'briarloom-'))
  const processes = new Map<string, ManagedProcess>()
  const controls = new Map<string, string>()
  const client = createControlClient(layout, controls)
  const platform = { config: '', hosts: '' }

  function getProcess (name: string): ManagedProcess {
    const found = processes.get(name)
    if (!found) throw new Error(`process "${name}" does not exist in the deployment`)
    return found
  }

  function sleep (ms: number): Promise<void> {
    return new Promise((resolve) => timer.after(ms, resolve))
  }

  async function waitForStandIn (name: string): Promise<string> {
    const line = await getProcess(name).waitForLine('ready ', startTimeoutMs)
    const [, address = '', control = ''] = line.split(' ')
    controls.set(name, control)
    return address
  }

  async function startPlatform (): Promise<void> {
    const hostLagMs = options.hostLagMs ?? 500
    processes.set('config', startStandIn('config', 'config', 0, {}, timer))
    processes.set('hosts', startStandIn('hosts', 'hosts', 0, { lagMs: hostLagMs }, timer))
    platform.config = await waitForStandIn('config')
    platform.hosts = await waitForStandIn('hosts')
  }

  async function startBackends (): Promise<void> {
    for (const backend of layout.backends) {
      const name = `backend/${backend.name}`
      const isService = backend.role === 'service'
      const engine = { ...options.engine, role: backend.role, model: firm.model, version: firm.version }
      processes.set(name, startStandIn(
        name, isService ? 'service' : 'engine', backend.backendPort, isService ? options.service ?? {} : engine, timer
      ))
    }
    for (const backend of layout.backends) await waitForStandIn(`backend/${backend.name}`)
  }

  async function writeInitialState (): Promise<void> {
    for (const [key, record] of buildRecords(layout, options)) await client.writeRecord(key, record)
    for (const host of [...layout.entries, ...layout.backends]) await client.setHostState(host.name, 'live')
    // The host list shows the hosts after its lag.
    await sleep(options.hostLagMs ?? 500)
  }

  async function startDaemon (kind: 'entry' | 'agent', host: Host | Backend): Promise<void> {
    const name = `${kind}/${host.name}`
    const file = join(folder, `${kind}-${host.name}.jsonc`)
    await writeFile(file, JSON.stringify(buildSettings(host, platform, options), undefined, 2))
    const nodeArguments = kind === 'entry' ? options.entryArguments ?? [] : []
    processes.set(name, startProcess(name, [...nodeArguments, mainPath, kind, '--settings', file], timer))
  }

  async function waitFor (condition: string, names: string[], timeoutMs: number, check: () => Promise<boolean>): Promise<void> {
    const deadlineMs = timer.now() + timeoutMs
    while (!await check()) {
      const hasFailed = timer.now() > deadlineMs || names.some((name) => !getProcess(name).isRunning())
      if (hasFailed) throw new Error(`${condition} not reached within ${timeoutMs} ms or before a process exited: ${describeProcesses()}`)
      await sleep(pollMs)
    }
  }

  /** Returns the last lines of every entry and agent, and of each stand-in that has exited. */
  function describeProcesses (): string {
    const described = [...processes.values()].filter((item) => !item.isRunning() || !controls.has(item.name))
    return described
      .map((item) => `${item.name} ${item.isRunning() ? 'is running' : 'has exited'}: ${item.readLines().slice(-quotedLines).join(' | ')}`)
      .join('; ')
  }

  function getEntryAddress (index: number): string {
    return `127.0.0.1:${layout.entries[index]?.httpPort}`
  }

  async function isReady (index: number): Promise<boolean> {
    try {
      const res = await request(`http://${getEntryAddress(index)}/readyz`, { reset: true })
      await res.body.dump()
      return res.statusCode === 200
    } catch {
      return false
    }
  }

  async function isServing (index: number): Promise<boolean> {
    const address = getEntryAddress(index)
    const key = firm.paidKey
    const completion = await requestCompletion({ address, key, model: firm.model, prompt: 'are you there', maxTokens: 1 })
    if (completion.endCount !== 1) return false
    if (!layout.backends.some((backend) => backend.role === 'service')) return true
    const call = { address, key, service: firm.service, method: 'GET', path: `${firm.readPath}/probe` }
    return (await callService(call)).status === 200
  }

  async function waitUntilServing (timeoutMs: number): Promise<void> {
    const names = [...processes.keys()]
    for (let i = 0; i < layout.entries.length; i++) {
      await waitFor(`readiness of entry ${i + 1}`, names, timeoutMs, () => isReady(i))
      await waitFor(`a response through entry ${i + 1}`, names, timeoutMs, () => isServing(i))
    }
  }

  async function stop (): Promise<void> {
    const all = [...processes.values()]
    for (const item of all) {
      item.signal('SIGCONT')
      item.signal('SIGTERM')
    }
    const exited = Promise.all(all.map((item) => item.waitForExit()))
    await Promise.race([exited, sleep(stopTimeoutMs)])
    for (const item of all) if (item.isRunning()) item.signal('SIGKILL')
    await exited
    await rm(folder, { recursive: true, force: true })
    timer.close()
  }

  async function restart (name: string): Promise<void> {
    getProcess(name).restart()
    if (controls.has(name)) await waitForStandIn(name)
    else await waitFor(`the start of ${name}`, [name], startTimeoutMs, async () => getProcess(name).hasLine('"msg":"ready'))
    const index = layout.entries.findIndex((entry) => `entry/${entry.name}` === name)
    if (index >= 0) await waitFor(`readiness of ${name}`, [name], startTimeoutMs, () => isReady(index))
  }

  async function updateRecord (key: string, fields: object): Promise<void> {
    const record = { ...buildRecords(layout, options).get(key), ...fields }
    await client.writeRecord(key, record)
  }

  async function readEngineState (name: string): Promise<Record<string, unknown>> {
    const backend = layout.backends.find((item) => item.name === name)
    const res = await request(`http://127.0.0.1:${backend?.backendPort}/v1/state`)
    return await res.body.json() as Record<string, unknown>
  }

  const deployment: Deployment = {
    ...client,
    updateRecord,
    updateBackendRecord: (name, fields) => updateRecord(`backend/${name}`, fields),
    readEngineState,
    firm,
    layout,
    timer,
    getProcess,
    listProcesses: () => [...processes.values()],
    getEntryAddress,
    async kill (name) {
      getProcess(name).signal('SIGKILL')
      await getProcess(name).waitForExit()
    },
    freeze: (name) => getProcess(name).signal('SIGSTOP'),
    unfreeze: (name) => getProcess(name).signal('SIGCONT'),
    restart,
    queryStatus: (host) => queryStatus(`127.0.0.1:${host.peerPort}`, timer),
    waitUntilServing,
    stop
  }

  try {
    await Promise.all([startPlatform(), startBackends()])
    await writeInitialState()
    for (const backend of layout.backends) await startDaemon('agent', backend)
    for (const entry of layout.entries) await startDaemon('entry', entry)
    await waitUntilServing(startTimeoutMs)
  } catch (err) {
    await stop()
    throw err
  }
  return deployment
}
