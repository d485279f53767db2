/**
 * A stand-in for a plain service over HTTP that counts the runs of each call.
 */
import { createFaultGate, FaultKind } from '../faults/mod.ts'
import type { FaultGate } from '../faults/mod.ts'
import { serve } from '../http/mod.ts'
import type { HttpCall, RunningServer } from '../http/mod.ts'
import { createSystemTimer } from '../../timer/mod.ts'
import type { Timer } from '../../timer/mod.ts'

/** Configures a plain service. */
export interface ServiceOptions {
  /** Port to listen on; 0, the default, takes a free one. */
  port?: number
  /** Time in milliseconds that a call takes; 5 by default. */
  serviceMs?: number
  timer?: Timer
}

/** Controls a running plain service. */
export interface ServiceStandIn extends RunningServer {
  gate: FaultGate
  /** Returns how often the call with the identifier `callId` ran; 0 when it never ran. */
  countRuns (callId: string): number
}

const defaultServiceMs = 5

/**
 * Starts a plain service on the loopback address.
 *
 * @param options the port, and the time in milliseconds that a call takes
 * @returns the running service
 * @throws when the port can't be bound
 *
 * @example
 * ```ts
 * import { startService } from 'briarloom/testing/service'
 *
 * const service = await startService()
 * console.assert(service.runs('c1') === 0)
 * await service.close()
 * ```
 */
export async function startService (options: ServiceOptions = {}): Promise<ServiceStandIn> {
  const timer = options.timer ?? createSystemTimer()
  const gate = createFaultGate({ timer })
  const runCounts = new Map<string, number>()
  const serviceMs = options.serviceMs ?? defaultServiceMs

  async function runCall (call: HttpCall): Promise<void> {
    const callId = String(call.req.headers['x-call-id'] ?? '')
    const count = (runCounts.get(callId) ?? 0) + 1
    runCounts.set(callId, count)
    await new Promise<void>((resolve) => timer.after(serviceMs, resolve))
    await gate.applyDelays()
    if (gate.isActive(FaultKind.CloseAfterRun)) {
      call.res.destroy()
      return
    }
    call.reply(200, { call_id: callId, runs: count })
  }

  const served = await serve({
    port: options.port ?? 0,
    gate,
    routes: { '* /*': runCall },
    controlRoutes: {
      'GET /runs': (call) => call.reply(200, { runs: Object.fromEntries(runCounts) }),
      'GET /runs/*': (call) => call.reply(200, { runs: runCounts.get(call.path.slice('/runs/'.length)) ?? 0 })
    }
  })
  return {
    ...served,
    gate,
    countRuns: (callId) => runCounts.get(callId) ?? 0,
    async close () {
      await served.close()
      if (!options.timer) timer.close()
    }
  }
}
