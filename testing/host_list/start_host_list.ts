/**
 * A stand-in for the list of hosts over HTTP, which shows changes after a lag.
 */
import { createFaultGate, FaultKind } from '../faults/mod.ts'
import type { FaultGate } from '../faults/mod.ts'
import { serve } from '../http/mod.ts'
import type { HttpHandler, RunningServer } from '../http/mod.ts'
import { createSystemTimer } from '../../timer/mod.ts'
import type { Timer } from '../../timer/mod.ts'

/** Describes a host as the list publishes it, as JSON over HTTP. */
export interface ListedHost {
  name: string
  kind: 'entry' | 'agent'
  address: string
  availability_zone: string
  region: string
  state: 'live' | 'leaving'
}

/** Configures the stand-in. */
export interface HostListOptions {
  /** Port to listen on; 0, the default, takes a free one. */
  port?: number
  /** Time in milliseconds before a change appears in the list; 2000 by default. */
  lagMs?: number
  timer?: Timer
}

/** Controls a running list of hosts. */
export interface HostListStandIn extends RunningServer {
  gate: FaultGate
  /** Adds or replaces a host, or removes it when the value is null; the change appears after the lag. */
  setHost (name: string, host: ListedHost | null): void
}

const defaultLagMs = 2000

/**
 * Starts a list of hosts, empty at first.
 *
 * @param options the port, and the lag in milliseconds
 * @returns the running list
 * @throws when the port can't be bound
 *
 * @example
 * ```ts
 * import { startHostList } from 'briarloom/testing/host_list'
 *
 * const hosts = await startHostList({ lagMs: 0 })
 * await hosts.close()
 * ```
 */
export async function startHostList (options: HostListOptions = {}): Promise<HostListStandIn> {
  const timer = options.timer ?? createSystemTimer()
  const lagMs = options.lagMs ?? defaultLagMs
  const gate = createFaultGate({ timer })
  const listedHosts = new Map<string, ListedHost>()
  let staleHosts: ListedHost[] | undefined

  function applyChange (name: string, host: ListedHost | null): void {
    if (host === null) listedHosts.delete(name)
    else listedHosts.set(name, host)
  }

  function setHost (name: string, host: ListedHost | null): void {
    if (lagMs === 0) applyChange(name, host)
    else timer.after(lagMs, () => applyChange(name, host))
  }

  gate.onChange(() => {
    if (!gate.isActive(FaultKind.Stale)) staleHosts = undefined
    else staleHosts ??= [...listedHosts.values()]
  })

  const changeHost: HttpHandler = (call) => {
    const name = call.path.slice('/v1/hosts/'.length)
    setHost(name, call.method === 'DELETE' ? null : { ...call.parseJson<ListedHost>(), name })
    call.reply(200, {})
  }

  const served = await serve({
    port: options.port ?? 0,
    gate,
    routes: { 'GET /v1/hosts': (call) => call.reply(200, { hosts: staleHosts ?? [...listedHosts.values()] }) },
    controlRoutes: { 'PUT /v1/hosts/*': changeHost, 'DELETE /v1/hosts/*': changeHost }
  })
  return {
    ...served,
    gate,
    setHost,
    async close () {
      await served.close()
      if (!options.timer) timer.close()
    }
  }
}
