/**
 * The prefix cache: hashes of prompt prefixes in limited memory, with eviction of the least recently used ones.
 */
import type { Timer } from '../../timer/mod.ts'
import { hashFnv1a32 } from './compute_expected_answer.ts'

/** Size of a block in tokens; the cached prefixes of a prompt are those that end at a multiple of it. */
export const blockTokens = 64

/** Describes a change of the cache, as JSON over HTTP. */
export interface CacheEventBody {
  seq: number
  kind: 'stored' | 'evicted'
  prefix: string
  tokens: number
}

/** Configures the cache. */
export interface PrefixCacheOptions {
  timer: Timer
  /** Highest number of cached prefixes. */
  blocks: number
  /** Delay in milliseconds before an event can be read. */
  eventLagMs: number
  /** One event in so many is lost and can never be read; 0 loses none. */
  eventGapEvery: number
}

/** Holds the cached prefixes and the latest events about them. */
export interface PrefixCache {
  /** Returns the number of leading tokens that are cached, and caches all whole blocks of the prompt. */
  lookUpAndStore (tokens: string[]): number
  /** Lists the events with a sequence number above `afterSeq`. */
  listEvents (afterSeq: number): CacheEventBody[]
  /** Evicts all prefixes. */
  clear (): void
}

/** Number of latest events that can be read. */
const maxEvents = 1000

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
      if (events.length > maxEvents) events.shift()
    })
  }

  function store (prefix: string, tokens: number): void {
    const wasStored = stored.delete(prefix)
    stored.set(prefix, tokens)
    if (!wasStored) publish('stored', prefix, tokens)
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
