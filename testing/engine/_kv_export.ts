/**
 * Exports KV caches to other engines. The running exports divide a link of limited rate equally.
 */
import { FaultKind } from '../faults/mod.ts'
import type { HttpCall } from '../http/mod.ts'
import type { EngineContext } from './_context.ts'
import type { PrefillTask, PrefillScheduler } from './_prefill.ts'

interface KvExport {
  call: HttpCall
  task: PrefillTask
  remainingBytes: number
}

/** Exports the KV caches of an engine. */
export interface KvExporter {
  /** Responds to `GET /v1/kv/HANDLE` with a JSON line about the prompt and then the bytes of the cache; 410 when it is gone. */
  start (call: HttpCall, handle: string): void
}

/** Interval in milliseconds at which the exports send their shares of the link. */
const tickMs = 5

/** Creates the exporter of an engine. */
export function createKvExporter (ctx: EngineContext, prefills: PrefillScheduler): KvExporter {
  const exports = new Set<KvExport>()
  let isTickScheduled = false
  let lastMs = 0

  function start (call: HttpCall, handle: string): void {
    const task = prefills.findByHandle(handle)
    if (task?.phase !== 'kept') return call.reply(410, { error: `KV cache "${handle}" is gone` })
    task.phase = 'exporting'
    task.expiry?.cancel()
    const head = JSON.stringify({ prompt: task.body.prompt, prompt_tokens: task.tokens.length }) + '\n'
    const remainingBytes = task.tokens.length * ctx.options.kvBytesPerToken
    call.res.writeHead(200, {
      'content-type': 'application/octet-stream',
      'content-length': Buffer.byteLength(head) + remainingBytes
    })
    call.res.write(head)
    const running = { call, task, remainingBytes }
    exports.add(running)
    task.stopExport = () => stop(running)
    call.res.on('close', () => stop(running))
    scheduleTick()
  }

  function stop (running: KvExport): void {
    if (!exports.delete(running)) return
    if (running.remainingBytes > 0) running.call.res.destroy()
    prefills.release(running.task, running.remainingBytes > 0 ? 'wasted_cancelled' : undefined)
  }

  function scheduleTick (): void {
    if (isTickScheduled || exports.size === 0) return
    isTickScheduled = true
    lastMs = ctx.timer.now()
    ctx.timer.after(tickMs, sendShares)
  }

  function sendShares (): void {
    isTickScheduled = false
    const elapsedMs = ctx.timer.now() - lastMs
    const isStalled = ctx.gate.isActive(FaultKind.StallTransfer) || ctx.gate.isActive(FaultKind.Freeze)
    if (!isStalled) {
      const shareBytes = elapsedMs * ctx.options.linkBytesPerMs / exports.size
      for (const running of [...exports]) send(running, Math.ceil(shareBytes))
    }
    scheduleTick()
  }

  function send (running: KvExport, bytes: number): void {
    if (running.call.res.writableNeedDrain) return
    const count = Math.min(bytes, running.remainingBytes)
    running.remainingBytes -= count
    ctx.counters.kv_bytes_exported += count
    running.call.res.write(Buffer.alloc(count))
    if (running.remainingBytes > 0) return
    running.call.res.end()
    stop(running)
  }

  return { start }
}
