/**
 * The form in which changes travel to followers.
 */
import { Ok } from '../core/results/mod.ts'
import { packChanges, unpackChanges } from '../wire/mod.ts'
import type { Result } from '../core/results/mod.ts'
import type { StoreChange } from '../core/view/mod.ts'
import type { ViewChanges, ViewRequest } from '../wire/mod.ts'
import type { ViewUpdate } from './_types.ts'

/** Length of the values in characters from which changes are packed. */
const minPackedLength = 4_096

type EncodedChanges = Pick<ViewChanges, 'changes' | 'packed'>

/** Creates an encoder. Followers mostly ask for the same changes one after the other, which are packed once. */
export function createChangesEncoder (): (msg: ViewRequest, update: ViewUpdate) => EncodedChanges {
  let lastKey = ''
  let last: Uint8Array | undefined

  return ({ readsPacked, after }, { changes, state, afterEra, complete }) => {
    const length = changes.reduce((sum, { value }) => sum + (value?.length ?? 0), 0)
    if (readsPacked !== true || length < minPackedLength) return { changes }
    const key = JSON.stringify([after, afterEra, state.era, state.revisions, complete])
    if (last === undefined || key !== lastKey) last = packChanges(changes)
    lastKey = key
    return { changes: [], packed: last }
  }
}

/** Returns the changes of a message, or why they cannot be read. */
export function decodeChanges ({ changes, packed }: ViewChanges): Result<StoreChange[], string> {
  return packed === undefined ? Ok(changes) : unpackChanges(packed)
}
