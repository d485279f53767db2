/**
 * Describes the keys of a version of the rules for the log.
 */
import { compareKeys } from '../core/route/mod.ts'
import type { RouteTable } from '../core/route/mod.ts'

/** Number of withdrawn keys that one log line names. */
const maxLoggedKeys = 5

/** Describes organisations and keys, and how the keys have changed, with the labels of some of those withdrawn; empty where callers carry no keys. */
export function describeKeys (before: RouteTable | undefined, after: RouteTable): object {
  const organisations = after.organisations()?.length
  if (organisations === undefined) return {}
  const { keys, added, withdrawn } = compareKeys(before, after)
  return { organisations, keys, keysAdded: added, keysWithdrawn: withdrawn.length, withdrawn: withdrawn.slice(0, maxLoggedKeys).join(' ') || undefined }
}
