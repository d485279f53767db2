/**
 * Splits pages of configuration into messages that fit into a frame, and joins the messages again.
 */
import type { ConfigurationPage } from '../core/configuration/mod.ts'
import type { ConfigChange } from '../source/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import type { ConfigRecords } from '../wire/mod.ts'

/** Far below the limit of a frame, because `estimateBytes` counts only keys and values, one byte for each character. */
const maxMessageBytes = 256 * 1024

/** Bounds the memory that one peer can fill with an unfinished page. */
const maxPageBytes = 64 * 1024 * 1024

/** Joins the messages of one peer into pages. */
export interface PageJoiner {
  /** Returns the whole page when `msg` is its last message and the page is within the limit; undefined otherwise. */
  push (msg: ConfigRecords): ConfigurationPage | undefined
}

/**
 * Estimates the size of a change in bytes.
 *
 * @param change the change
 * @returns the number of characters in key and value, one byte for each
 *
 * @example
 * ```ts
 * console.log(estimateBytes({ key: 'tier/t', revision: 1, value: '{}' }))
 * ```
 */
export function estimateBytes (change: ConfigChange): number {
  return change.key.length + (change.value?.length ?? 0)
}

/**
 * Splits a page into messages that each fit into a frame.
 *
 * @param page the page
 * @returns at least one message; all but the last have `more` set
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
    if (bytes > 0 && bytes + size > maxMessageBytes) {
      parts.push([])
      bytes = 0
    }
    parts.at(-1)?.push(change)
    bytes += size
  }
  const coverage = after === undefined ? { revision, complete } : { revision, after, complete }
  return parts.map((changes, index) => ({
    kind: MessageKind.ConfigRecords,
    ...coverage,
    ...(index < parts.length - 1 && { more: true }),
    changes
  }))
}

/**
 * Creates a joiner for the messages of one peer.
 *
 * @returns the joiner; it drops a page whose estimated size exceeds 64 MiB
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
      if (bytes <= maxPageBytes) changes.push(...msg.changes)
      if (msg.more === true) return undefined
      const page = { revision: msg.revision, complete: msg.complete, changes }
      const isWithinLimit = bytes <= maxPageBytes
      changes = []
      bytes = 0
      if (!isWithinLimit) return undefined
      return msg.after === undefined ? page : { ...page, after: msg.after }
    }
  }
}
