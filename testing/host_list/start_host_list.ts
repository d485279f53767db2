/**
 * A list of hosts over HTTP that shows changes with a lag.
 */
import { createFaultGate, FaultKind } from '../faults/mod.ts'
import type { FaultGate } from '../faults/mod.ts'
import { serve } from '../http/mod.ts'
import type { HttpHandler, RunningServer } from '../http/mod.ts'
import { createSystemTimer } from '../../timer/mod.ts'
import type { Timer } from '../../timer/mod.ts'

/** Describes a host as the list publishes it. */
export interface ListedHost {
  name: string
  kind: 'entry' | 'agent'
  address: string
  availability_zone: string
  region: string
  state: 'live' | 'leaving'
}

/** Configures a list of hosts. */
export interface HostListOptions {
  /** Port to listen on; 0, the default, takes a free one. */
  port?: number
  /** Time in milliseconds after which a change shows; 2000 by default. */
  lagMs?: number
  timer?: Timer
}

/** A running list of hosts. */
export interface HostListStandIn extends RunningServer {
  gate: FaultGate
  /** Adds or replaces a host, or removes it when the value is null; shows after the lag. */
  setHost (name: string, host: ListedHost | null): void
}

const defaultLagMs = 2000

/**
 * Starts a list of hosts.
 *
 * @param options the port, and the lag in milliseconds
 * @returns the running list
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
  const shown = new Map<string, ListedHost>()
  let frozen: ListedHost[] | undefined

  function show (name: string, host: ListedHost | null): void {
    if (host === null) shown.delete(name)
    else shown.set(name, host)
  }

  function setHost (name: string, host: ListedHost | null): void {
    if (lagMs === 0) show(name, host)
    else timer.after(lagMs, () => show(name, host))
  }

  gate.onChange(() => {
    if (!gate.isActive(FaultKind.Stale)) frozen = undefined
    else frozen ??= [...shown.values()]
  })

  const change: HttpHandler = (call) => {
    const name = call.path.slice('/v1/hosts/'.length)
    setHost(name, call.method === 'DELETE' ? null : { ...call.parseJson<ListedHost>(), name })
    call.reply(200, {})
  }

  const served = await serve({
    port: options.port ?? 0,
    gate,
    routes: { 'GET /v1/hosts': (call) => call.reply(200, { hosts: frozen ?? [...shown.values()] }) },
    controlRoutes: { 'PUT /v1/hosts/*': change, 'DELETE /v1/hosts/*': change }
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
