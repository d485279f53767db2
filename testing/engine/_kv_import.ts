/**
 * Imports of KV caches from other engines.
 */
import { request } from 'undici'

/** What an import brings. */
export interface ImportedKv {
  prompt: string
}

/** Pulls a KV cache; answers undefined when it is gone or the transfer broke. */
export async function importKv (address: string, handle: string, signal: AbortSignal): Promise<ImportedKv | undefined> {
  try {
    const url = `http://${address}/v1/kv/${encodeURIComponent(handle)}`
    const res = await request(url, { signal, bodyTimeout: 0, headersTimeout: 0 })
    if (res.statusCode !== 200) {
      await res.body.dump()
      return undefined
    }
    let head = ''
    let whole = false
    for await (const chunk of res.body) {
      if (whole) continue
      head += (chunk as Buffer).toString('latin1')
      whole = head.includes('\n')
    }
    const line = Buffer.from(head.slice(0, head.indexOf('\n')), 'latin1').toString()
    return JSON.parse(line) as ImportedKv
  } catch {
    return undefined
  }
}
