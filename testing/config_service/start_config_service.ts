/**
 * A stand-in for the configuration service over HTTP, with watches, conditional writes and a read rate limit.
 */
import { createFaultGate, FaultKind } from '../faults/mod.ts'
import type { FaultGate } from '../faults/mod.ts'
import { serve } from '../http/mod.ts'
import type { HttpCall, RunningServer } from '../http/mod.ts'
import { createSystemTimer } from '../../timer/mod.ts'
import type { Timer } from '../../timer/mod.ts'
import { createRecordStore } from './_store.ts'
import type { RecordStore, WriteResult } from './_store.ts'

/** Configures the stand-in. */
export interface ConfigServiceOptions {
  /** Port to listen on; 0, the default, takes a free one. */
  port?: number
  /** Highest number of reads and watches per second, across all clients; 2000 by default. */
  readsPerS?: number
  timer?: Timer
}

/** Controls a running configuration service. */
export interface ConfigServiceStandIn extends RunningServer {
  gate: FaultGate
  /** Writes a record, or deletes it when the value is null; `ifRevision`, when given, must equal the revision of the record. */
  writeRecord (key: string, value: string | null, ifRevision?: number): WriteResult
}

const defaultReadsPerS = 2000
const maxValueBytes = 1_048_576
const rateWindowMs = 1000
/** Time in milliseconds by which a fault of the kind `Slow` delays a read. */
const slowDelayMs = 500

/**
 * Starts a configuration service without records.
 *
 * @param options the port, and the limit of reads per second
 * @returns the running service
 * @throws when the port can't be bound
 *
 * @example
 * ```ts
 * import { startConfigService } from 'briarloom/testing/config_service'
 *
 * const service = await startConfigService()
 * service.writeRecord('tier/or', '{"schema":1}')
 * await service.close()
 * ```
 */
export async function startConfigService (options: ConfigServiceOptions = {}): Promise<ConfigServiceStandIn> {
  const timer = options.timer ?? createSystemTimer()
  const gate = createFaultGate({ timer })
  const readLimit = options.readsPerS ?? defaultReadsPerS
  const store = createRecordStore()
  const counters = { reads: 0, watches: 0, refused: 0, waiting: 0 }
  const waitingWatches = new Set<() => void>()
  let staleStore: RecordStore | undefined
  let windowStartMs = timer.now()
  let windowReadCount = 0

  gate.onChange(() => {
    if (!gate.isActive(FaultKind.Stale)) staleStore = undefined
    else staleStore ??= store.copy()
    wakeWatches()
  })

  function wakeWatches (): void {
    for (const resume of [...waitingWatches]) resume()
  }

  function getVisibleStore (): RecordStore {
    return staleStore ?? store
  }

  /** Counts a read; returns false after refusing it with 429 when the current window has no read left. */
  function consumeRead (call: HttpCall): boolean {
    if (timer.now() - windowStartMs >= rateWindowMs) {
      windowStartMs = timer.now()
      windowReadCount = 0
    }
    windowReadCount += 1
    if (windowReadCount <= readLimit) return true
    counters.refused += 1
    call.reply(429, { error: 'too many reads' })
    return false
  }

  async function applySlowFault (): Promise<void> {
    if (gate.isActive(FaultKind.Slow)) await new Promise<void>((resolve) => timer.after(slowDelayMs, resolve))
  }

  async function readAll (call: HttpCall): Promise<void> {
    if (!consumeRead(call)) return
    counters.reads += 1
    await applySlowFault()
    call.reply(200, getVisibleStore().listAll())
  }

  async function watch (call: HttpCall): Promise<void> {
    if (!consumeRead(call)) return
    counters.watches += 1
    await applySlowFault()
    const after = Number(call.query.get('after') ?? 0)
    const deadlineMs = timer.now() + Number(call.query.get('wait_ms') ?? 0)
    counters.waiting += 1
    while (getVisibleStore().listChangesAfter(after).changes.length === 0 && timer.now() < deadlineMs && !call.res.destroyed) {
      await waitForChange(deadlineMs - timer.now(), call)
    }
    counters.waiting -= 1
    call.reply(200, getVisibleStore().listChangesAfter(after))
  }

  function waitForChange (waitMs: number, call: HttpCall): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        timeout.cancel()
        waitingWatches.delete(finish)
        call.res.off('close', finish)
        resolve()
      }
      const timeout = timer.after(Math.max(1, waitMs), finish)
      waitingWatches.add(finish)
      call.res.on('close', finish)
    })
  }

  function writeRecord (key: string, value: string | null, ifRevision?: number): WriteResult {
    const result = store.write(key, value, ifRevision)
    if (result.accepted) wakeWatches()
    return result
  }

  function writeFromCall (call: HttpCall): void {
    const key = call.path.slice('/v1/records/'.length)
    if (call.body.length > maxValueBytes) return call.reply(413, { error: `record "${key}" is larger than one mebibyte` })
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
      'PUT /v1/records/*': writeFromCall,
      'DELETE /v1/records/*': writeFromCall,
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
