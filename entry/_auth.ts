/**
 * Finds the caller that an API key belongs to.
 */
import { createHash, timingSafeEqual } from 'node:crypto'
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
const indexHexDigits = 8

/**
 * Creates the lookup of callers. Keys are stored as SHA-256 digests and compared in constant time.
 */
export function createAuth (config: Configuration): Auth {
  /** Callers by the first hexadecimal digits of the digest, so that a lookup does not read every record. */
  let index = new Map<string, CallerRecord[]>()

  function rebuildIndex (): void {
    index = new Map()
    for (const caller of config.list(RecordKind.Caller)) {
      const prefix = caller.keyHash.slice(0, indexHexDigits)
      index.set(prefix, [...index.get(prefix) ?? [], caller])
    }
  }

  rebuildIndex()
  config.onChange((event) => {
    if (event.key.startsWith(`${RecordKind.Caller}/`)) rebuildIndex()
  })

  function matches (caller: CallerRecord, digest: Buffer): boolean {
    const stored = Buffer.from(caller.keyHash, 'hex')
    return stored.length === digest.length && timingSafeEqual(stored, digest)
  }

  return {
    identify (req) {
      const key = bearerPattern.exec(req.headers.authorization ?? '')?.[1]
      if (key === undefined) return undefined
      const digest = createHash('sha256').update(key).digest()
      const candidates = index.get(digest.toString('hex').slice(0, indexHexDigits)) ?? []
      const caller = candidates.find((candidate) => matches(candidate, digest))
      if (caller === undefined) return undefined
      const tier = config.get(RecordKind.Tier, caller.tier)
      return tier === undefined ? undefined : { caller, tier }
    }
  }
}
