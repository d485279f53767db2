/**
 * Exports of KV caches to other engines over a link of limited rate that all exports share.
 */
import { FaultKind } from '../faults/mod.ts'
import type { HttpCall } from '../http/mod.ts'
import type { EngineContext } from './_context.ts'
import type { PrefillTask, PrefillScheduler } from './_prefill.ts'

interface Export {
  call: HttpCall
  entry: PrefillTask
  leftBytes: number
}

/** Serves exports. */
export interface KvExporter {
  /** Answers `GET /v1/kv/HANDLE`. */
  start (call: HttpCall, handle: string): void
}

const tickMs = 5

/** Creates the exporter of an engine. */
export function createKvExporter (ctx: EngineContext, prefills: PrefillScheduler): KvExporter {
  const exports = new Set<Export>()
  let ticking = false
  let lastMs = 0

  function start (call: HttpCall, handle: string): void {
    const entry = prefills.findByHandle(handle)
    if (entry?.phase !== 'kept') return call.reply(410, { error: `KV cache "${handle}" is gone` })
    entry.phase = 'exporting'
    entry.expiry?.cancel()
    const head = JSON.stringify({ prompt: entry.body.prompt, prompt_tokens: entry.tokens.length }) + '\n'
    const leftBytes = entry.tokens.length * ctx.options.kvBytesPerToken
    call.res.writeHead(200, {
      'content-type': 'application/octet-stream',
      'content-length': Buffer.byteLength(head) + leftBytes
    })
    call.res.write(head)
    const running = { call, entry, leftBytes }
    exports.add(running)
    entry.stopExport = () => stop(running)
    call.res.on('close', () => stop(running))
    schedule()
  }

  function stop (running: Export): void {
    if (!exports.delete(running)) return
    if (running.leftBytes > 0) running.call.res.destroy()
    prefills.release(running.entry, running.leftBytes > 0 ? 'wasted_cancelled' : undefined)
  }

  function schedule (): void {
    if (ticking || exports.size === 0) return
    ticking = true
    lastMs = ctx.timer.now()
    ctx.timer.after(tickMs, tick)
  }

  function tick (): void {
    ticking = false
    const elapsedMs = ctx.timer.now() - lastMs
    const halted = ctx.gate.isActive(FaultKind.StallTransfer) || ctx.gate.isActive(FaultKind.Freeze)
    if (!halted) {
      const share = elapsedMs * ctx.options.linkBytesPerMs / exports.size
      for (const running of [...exports]) send(running, Math.ceil(share))
    }
    schedule()
  }

  function send (running: Export, bytes: number): void {
    if (running.call.res.writableNeedDrain) return
    const count = Math.min(bytes, running.leftBytes)
    running.leftBytes -= count
    ctx.counters.kv_bytes_exported += count
    running.call.res.write(Buffer.alloc(count))
    if (running.leftBytes > 0) return
    running.call.res.end()
    stop(running)
  }

  return { start }
}
