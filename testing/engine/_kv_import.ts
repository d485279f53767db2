/**
 * Imports KV caches from other engines.
 */
import { request } from 'undici'

/** Describes an imported KV cache: the prompt that it was computed from. */
export interface ImportedKv {
  prompt: string
}

/** Fetches a KV cache from the engine at `address` (`ip:port`); returns undefined when it is gone or the transfer failed. */
export async function importKv (address: string, handle: string, signal: AbortSignal): Promise<ImportedKv | undefined> {
  try {
    const url = `http://${address}/v1/kv/${encodeURIComponent(handle)}`
    const res = await request(url, { signal, bodyTimeout: 0, headersTimeout: 0 })
    if (res.statusCode !== 200) {
      await res.body.dump()
      return undefined
    }
    let head = ''
    let hasHead = false
    for await (const chunk of res.body) {
      if (hasHead) continue
      head += (chunk as Buffer).toString('latin1')
      hasHead = head.includes('\n')
    }
    const line = Buffer.from(head.slice(0, head.indexOf('\n')), 'latin1').toString()
    return JSON.parse(line) as ImportedKv
  } catch {
    return undefined
  }
}
