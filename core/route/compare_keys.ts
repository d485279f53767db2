/**
 * Compares the keys of two versions of the rules.
 */
import { getKeyLabel } from '../keys/mod.ts'
import type { RouteTable } from './create_route_table.ts'

/** How the keys of one version differ from those of the version before. */
export interface KeyChanges {
  /** Number of keys. */
  keys: number
  added: number
  /** The organisations that lost keys, each with the label of the key, as in `north:1f3a5c7e`. */
  withdrawn: string[]
}

function listHolders (table: RouteTable | undefined): Map<string, string> {
  return new Map(table?.organisations()?.flatMap(({ name, keys }) => keys.map((key) => [key, name] as const)))
}

/**
 * Compares the keys of two versions, for the log. A key that went to another organisation counts as withdrawn and added.
 *
 * @param before the version before; undefined when there is none, and then no key counts as added
 * @param after the version that takes effect
 * @returns the changes, without any key
 *
 * @example
 * ```ts
 * import { compareKeys, createRouteTable } from 'briarloom/core/route'
 *
 * const limits = { maxHeaderBytes: 16384, maxBodyBytes: 65536, headerTimeoutMs: 3000, idleTimeoutMs: 15000 }
 * const rules = { version: 1, routes: [], services: [], limits }
 * const table = createRouteTable({ ...rules, organisations: [{ name: 'north', keys: ['k-1', 'k-2'] }] })
 * console.assert(compareKeys(createRouteTable(rules), table).added === 2)
 * ```
 */
export function compareKeys (before: RouteTable | undefined, after: RouteTable): KeyChanges {
  const [old, now] = [listHolders(before), listHolders(after)]
  const withdrawn = [...old].filter(([key, name]) => now.get(key) !== name).map(([key, name]) => `${name}:${getKeyLabel(key)}`)
  const added = before === undefined ? 0 : [...now].filter(([key, name]) => old.get(key) !== name).length
  return { keys: now.size, added, withdrawn }
}
