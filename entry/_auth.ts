/**
 * Finds the caller that an API key belongs to.
 */
import { createKeyIndex } from '../core/keys/mod.ts'
import { RecordKind } from '../core/records/mod.ts'
import type { Configuration } from '../core/configuration/mod.ts'
import type { CallerRecord, TierRecord } from '../core/records/mod.ts'
import type { IncomingMessage } from 'node:http'

/** A caller and its tier. */
export interface Identity {
  caller: CallerRecord
  tier: TierRecord
}

/** Finds callers by key. */
export interface Auth {
  /** Returns the caller of a request; undefined when the key is missing or unknown, or the caller's tier does not exist. */
  identify (req: IncomingMessage): Identity | undefined
}

const bearerPattern = /^Bearer\s+(\S{1,256})$/i

/** Creates the lookup of callers, whose records have the SHA-256 digests of their keys. */
export function createAuth (config: Configuration): Auth {
  const buildIndex = (): ReturnType<typeof createKeyIndex<CallerRecord>> =>
    createKeyIndex(config.list(RecordKind.Caller).map((caller) => ({ digest: caller.keyHash, holder: caller })))
  let callers = buildIndex()
  config.onChange((event) => { if (event.key.startsWith(`${RecordKind.Caller}/`)) callers = buildIndex() })

  return {
    identify (req) {
      const key = bearerPattern.exec(req.headers.authorization ?? '')?.[1]
      const caller = key === undefined ? undefined : callers.find(key)
      const tier = caller === undefined ? undefined : config.get(RecordKind.Tier, caller.tier)
      return caller === undefined || tier === undefined ? undefined : { caller, tier }
    }
  }
}
