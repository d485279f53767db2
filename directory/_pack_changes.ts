/**
 * The form in which changes travel to other processes.
 */
import { Ok } from '../core/results/mod.ts'
import { packChanges, unpackChanges } from '../wire/mod.ts'
import type { Result } from '../core/results/mod.ts'
import type { StoreChange } from '../core/view/mod.ts'

/** Changes as a message carries them: packed, or as they are. */
export interface CarriedChanges {
  changes: StoreChange[]
  packed?: Uint8Array
}

/** Packs changes; the same `key` names the same changes. */
export type PackChanges = (key: string, changes: StoreChange[]) => CarriedChanges

/** Length of the values in characters from which changes are packed. */
const minPackedLength = 4_096

/** Creates a packer. Processes mostly ask for the same changes one after the other, which are packed once. */
export function createChangesPacker (): PackChanges {
  let lastKey = ''
  let last: Uint8Array | undefined

  return (key, changes) => {
    const length = changes.reduce((sum, { value }) => sum + (value?.length ?? 0), 0)
    if (length < minPackedLength) return { changes }
    if (last === undefined || key !== lastKey) last = packChanges(changes)
    lastKey = key
    return { changes: [], packed: last }
  }
}

/** Returns the changes of a message, or why they cannot be read. */
export function decodeChanges ({ changes, packed }: CarriedChanges): Result<StoreChange[], string> {
  return packed === undefined ? Ok(changes) : unpackChanges(packed)
}
