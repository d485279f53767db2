/**
 * The prefix cache: hashes of prompt prefixes in limited memory, evicted by least recent use.
 */
import type { Timer } from '../../timer/mod.ts'
import { hashFnv1a32 } from './compute_expected_answer.ts'

/** Number of tokens between two cached prefixes. */
export const blockTokens = 64

/** Carries a change of the cache as it goes over HTTP. */
export interface CacheEventBody {
  seq: number
  kind: 'stored' | 'evicted'
  prefix: string
  tokens: number
}

/** Configures the cache. */
export interface PrefixCacheOptions {
  timer: Timer
  blocks: number
  eventLagMs: number
  eventGapEvery: number
}

/** Holds prefixes. */
export interface PrefixCache {
  /** Answers how many leading tokens are cached, and caches all whole blocks of the prompt. */
  lookUpAndStore (tokens: string[]): number
  listEvents (afterSeq: number): CacheEventBody[]
  clear (): void
}

const keptEvents = 1000

/** Creates an empty cache. */
export function createPrefixCache (options: PrefixCacheOptions): PrefixCache {
  const { timer } = options
  const stored = new Map<string, number>()
  const events: CacheEventBody[] = []
  let seq = 0

  function publish (kind: 'stored' | 'evicted', prefix: string, tokens: number): void {
    const event = { seq: ++seq, kind, prefix, tokens }
    if (options.eventGapEvery > 0 && seq % options.eventGapEvery === 0) return
    timer.after(options.eventLagMs, () => {
      events.push(event)
      if (events.length > keptEvents) events.shift()
    })
  }

  function store (prefix: string, tokens: number): void {
    const known = stored.delete(prefix)
    stored.set(prefix, tokens)
    if (!known) publish('stored', prefix, tokens)
    for (const [oldest, size] of stored) {
      if (stored.size <= options.blocks) break
      stored.delete(oldest)
      publish('evicted', oldest, size)
    }
  }

  function lookUpAndStore (tokens: string[]): number {
    let cached = 0
    for (let end = blockTokens; end <= tokens.length; end += blockTokens) {
      const prefix = hashFnv1a32(tokens.slice(0, end).join(' ')).toString(36)
      if (stored.has(prefix) && cached === end - blockTokens) cached = end
      store(prefix, end)
    }
    return cached
  }

  function clear (): void {
    for (const [prefix, tokens] of stored) publish('evicted', prefix, tokens)
    stored.clear()
  }

  return { lookUpAndStore, listEvents: (afterSeq) => events.filter((event) => event.seq > afterSeq), clear }
}
