/**
 * The compact form in which changes of the store travel: a configuration of many routes repeats itself.
 */
import { constants, gunzipSync, gzipSync } from 'node:zlib'
import { Err, Ok } from '../core/results/mod.ts'
import { isChanges } from './_message_checks.ts'
import type { Result } from '../core/results/mod.ts'
import type { StoreChange } from '../core/view/mod.ts'

/** Largest size of unpacked changes in bytes: a small message must not take much memory. */
const maxUnpackedBytes = 16 * 1_048_576

/**
 * Packs changes of the store.
 *
 * @param changes the changes
 * @returns their JSON, compressed as gzip
 *
 * @example
 * ```ts
 * import { packChanges, unpackChanges } from 'briarloom/wire'
 *
 * const changes = [{ key: 'servers/i-1', revision: 7, value: null }]
 * console.assert(unpackChanges(packChanges(changes)).unwrap()[0]?.revision === 7)
 * ```
 */
export function packChanges (changes: readonly StoreChange[]): Buffer {
  return gzipSync(JSON.stringify(changes), { level: constants.Z_BEST_SPEED })
}

/**
 * Unpacks changes of the store.
 *
 * @param packed what `packChanges` returned
 * @returns the changes, or why they cannot be read
 *
 * @example
 * ```ts
 * import { unpackChanges } from 'briarloom/wire'
 *
 * console.assert(unpackChanges(Buffer.from('no gzip')).err)
 * ```
 */
export function unpackChanges (packed: Uint8Array): Result<StoreChange[], string> {
  try {
    const changes: unknown = JSON.parse(gunzipSync(packed, { maxOutputLength: maxUnpackedBytes }).toString('utf8'))
    return isChanges(changes) ? Ok(changes as StoreChange[]) : Err('packed changes have an invalid field')
  } catch (err) {
    return Err(`packed changes cannot be read: ${err instanceof Error ? err.message : String(err)}`)
  }
}
