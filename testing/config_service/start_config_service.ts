/**
 * A configuration service over HTTP with watches, conditional writes and a limit of reads.
 */
import { createFaultGate, FaultKind } from '../faults/mod.ts'
import type { FaultGate } from '../faults/mod.ts'
import { serve } from '../http/mod.ts'
import type { HttpCall, RunningServer } from '../http/mod.ts'
import { createSystemTimer } from '../../timer/mod.ts'
import type { Timer } from '../../timer/mod.ts'
import { createRecordStore } from './_store.ts'
import type { RecordStore, WriteResult } from './_store.ts'

/** Configures a configuration service. */
export interface ConfigServiceOptions {
  /** Port to listen on; 0, the default, takes a free one. */
  port?: number
  /** Highest number of reads a second, across all readers; 2000 by default. */
  readsPerS?: number
  timer?: Timer
}

/** A running configuration service. */
export interface ConfigServiceStandIn extends RunningServer {
  gate: FaultGate
  /** Writes a record, as an operator does. */
  writeRecord (key: string, value: string | null, ifRevision?: number): WriteResult
}

const defaultReadsPerS = 2000
const maxValueBytes = 1_048_576
const windowMs = 1000
const slowMs = 500

/**
 * Starts a configuration service without records.
 *
 * @param options the port, and the limit of reads a second
 * @returns the running service
 *
 * @example
 * ```ts
 * import { startConfigService } from 'briarloom/testing/config_service'
 *
 * const service = await startConfigService()
 * service.write('tier/or', '{"schema":1}')
 * await service.close()
 * ```
 */
export async function startConfigService (options: ConfigServiceOptions = {}): Promise<ConfigServiceStandIn> {
  const timer = options.timer ?? createSystemTimer()
  const gate = createFaultGate({ timer })
  const limit = options.readsPerS ?? defaultReadsPerS
  const store = createRecordStore()
  const counters = { reads: 0, watches: 0, refused: 0, waiting: 0 }
  const wakers = new Set<() => void>()
  let staleStore: RecordStore | undefined
  let windowStartMs = timer.now()
  let windowReads = 0

  gate.onChange(() => {
    if (!gate.isActive(FaultKind.Stale)) staleStore = undefined
    else staleStore ??= store.copy()
    wake()
  })

  function wake (): void {
    for (const waker of [...wakers]) waker()
  }

  function view (): RecordStore {
    return staleStore ?? store
  }

  function admit (call: HttpCall): boolean {
    if (timer.now() - windowStartMs >= windowMs) {
      windowStartMs = timer.now()
      windowReads = 0
    }
    windowReads += 1
    if (windowReads <= limit) return true
    counters.refused += 1
    call.reply(429, { error: 'too many reads' })
    return false
  }

  async function slowDown (): Promise<void> {
    if (gate.isActive(FaultKind.Slow)) await new Promise<void>((resolve) => timer.after(slowMs, resolve))
  }

  async function readAll (call: HttpCall): Promise<void> {
    if (!admit(call)) return
    counters.reads += 1
    await slowDown()
    call.reply(200, view().listAll())
  }

  async function watch (call: HttpCall): Promise<void> {
    if (!admit(call)) return
    counters.watches += 1
    await slowDown()
    const after = Number(call.query.get('after') ?? 0)
    const deadlineMs = timer.now() + Number(call.query.get('wait_ms') ?? 0)
    counters.waiting += 1
    while (view().listChangesAfter(after).changes.length === 0 && timer.now() < deadlineMs && !call.res.destroyed) {
      await waitForChange(deadlineMs - timer.now(), call)
    }
    counters.waiting -= 1
    call.reply(200, view().listChangesAfter(after))
  }

  function waitForChange (waitMs: number, call: HttpCall): Promise<void> {
    return new Promise((resolve) => {
      const done = (): void => {
        timeout.cancel()
        wakers.delete(done)
        call.res.off('close', done)
        resolve()
      }
      const timeout = timer.after(Math.max(1, waitMs), done)
      wakers.add(done)
      call.res.on('close', done)
    })
  }

  function writeRecord (key: string, value: string | null, ifRevision?: number): WriteResult {
    const result = store.write(key, value, ifRevision)
    if (result.accepted) wake()
    return result
  }

  function put (call: HttpCall): void {
    const key = call.path.slice('/v1/records/'.length)
    if (call.body.length > maxValueBytes) return call.reply(413, { error: `record "${key}" is over one megabyte` })
    const condition = call.req.headers['if-revision']
    const value = call.method === 'DELETE' ? null : call.body.toString()
    const result = writeRecord(key, value, condition === undefined ? undefined : Number(condition))
    call.reply(result.accepted ? 200 : 409, { revision: result.revision })
  }

  const served = await serve({
    port: options.port ?? 0,
    gate,
    routes: { 'GET /v1/records': readAll, 'GET /v1/watch': watch },
    controlRoutes: {
      'PUT /v1/records/*': put,
      'DELETE /v1/records/*': put,
      'GET /counters': (call) => call.reply(200, counters)
    }
  })
  return {
    ...served,
    gate,
    writeRecord,
    async close () {
      await served.close()
      if (!options.timer) timer.close()
    }
  }
}
