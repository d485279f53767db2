/**
 * Splits pages of configuration over frames and joins them again.
 */
import type { ConfigurationPage } from '../core/configuration/mod.ts'
import type { ConfigChange } from '../source/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import type { ConfigRecords } from '../wire/mod.ts'

const maxPartBytes = 256 * 1024
const maxJoinedBytes = 64 * 1024 * 1024

/** Joins the parts that one peer sends. */
export interface PageJoiner {
  /** Returns the whole page once its last part is there. */
  push (msg: ConfigRecords): ConfigurationPage | undefined
}

/**
 * Returns the size of a change in bytes, as far as its texts go.
 *
 * @param change the change
 * @returns the number of characters of key and value
 *
 * @example
 * ```ts
 * console.log(sizeOf({ key: 'tier/t', revision: 1, value: '{}' }))
 * ```
 */
export function estimateBytes (change: ConfigChange): number {
  return change.key.length + (change.value?.length ?? 0)
}

/**
 * Splits a page into messages that fit into frames.
 *
 * @param page the page
 * @returns at least one message; all but the last are marked with `more`
 *
 * @example
 * ```ts
 * console.log(splitPage({ revision: 1, complete: true, changes: [] }).length)
 * ```
 */
export function splitPage (page: ConfigurationPage): ConfigRecords[] {
  const { revision, after, complete } = page
  const parts: ConfigChange[][] = [[]]
  let bytes = 0
  for (const change of page.changes) {
    const size = estimateBytes(change)
    if (bytes > 0 && bytes + size > maxPartBytes) {
      parts.push([])
      bytes = 0
    }
    parts.at(-1)?.push(change)
    bytes += size
  }
  const claim = after === undefined ? { revision, complete } : { revision, after, complete }
  return parts.map((changes, index) => ({
    kind: MessageKind.ConfigRecords,
    ...claim,
    ...(index < parts.length - 1 && { more: true }),
    changes
  }))
}

/**
 * Creates a joiner for the parts of one peer.
 *
 * @returns the joiner; it drops a page that is longer than a process should hold
 *
 * @example
 * ```ts
 * const joiner = createPageJoiner()
 * console.log(joiner.push({ kind: MessageKind.ConfigRecords, revision: 1, complete: false, changes: [] }))
 * ```
 */
export function createPageJoiner (): PageJoiner {
  let changes: ConfigChange[] = []
  let bytes = 0
  return {
    push (msg) {
      bytes += msg.changes.reduce((sum, change) => sum + estimateBytes(change), 0)
      if (bytes <= maxJoinedBytes) changes.push(...msg.changes)
      if (msg.more === true) return undefined
      const page = { revision: msg.revision, complete: msg.complete, changes }
      const isWhole = bytes <= maxJoinedBytes
      changes = []
      bytes = 0
      if (!isWhole) return undefined
      return msg.after === undefined ? page : { ...page, after: msg.after }
    }
  }
}
