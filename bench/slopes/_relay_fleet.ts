/**
 * Simulates a fleet of configuration relays in one process, with a manual timer and a network that counts messages and bytes.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { createConfiguration } from '../../core/configuration/mod.ts'
import type { Configuration } from '../../core/configuration/mod.ts'
import { Ok } from '../../core/results/mod.ts'
import type { SubsetMember } from '../../core/subset/mod.ts'
import type { ConfigChange, ConfigPage, ConfigService } from '../../source/mod.ts'
import { createConfigRelay } from '../../relay/mod.ts'
import type { ConfigRelay } from '../../relay/mod.ts'
import { createManualTimer } from '../../timer/mod.ts'
import { encodeFrame } from '../../wire/mod.ts'
import { buildBackendChange } from './_samples.ts'

/** A simulated fleet of relays that read from one configuration service. */
export interface RelayFleet {
  /** Advances the virtual time by some milliseconds. */
  advance (ms: number): Promise<void>
  /** Writes a record and returns the virtual milliseconds until every process has applied it, or `limitMs` when that takes longer. */
  measureChangeMs (limitMs: number): Promise<number>
  /** Returns the messages, bytes and service reads since the last call; `maxBytes` is the most that one process sent. */
  takeCounts (): { messages: number, bytes: number, maxBytes: number, reads: number }
}

const stepMs = 10
const zoneCount = 13
const regionCount = 5
const sameRegionDelayMs = 1
const otherRegionDelayMs = 20

/** Starts `size` relays in 13 availability zones of 5 regions; they don't have the first record yet. */
export async function createRelayFleet (size: number, seed: number): Promise<RelayFleet> {
  const timer = createManualTimer()
  const rng = xoroshiro128plus(seed)
  const random = (): number => uniformInt(rng, 0, 2 ** 30 - 1) / 2 ** 30
  const nodes = new Map<string, { config: Configuration, relay: ConfigRelay, region: string }>()
  const sentBytes = new Map<string, number>()
  const watchers = new Set<() => void>()
  const records: ConfigChange[] = []
  let messages = 0
  let reads = 0
  const members: SubsetMember[] = Array.from({ length: size }, (_, i) => ({
    name: `host-${i}`, availabilityZone: `zone-${i % zoneCount}`, region: `region-${i % zoneCount % regionCount}`
  }))

  function pageAfter (after: number): ConfigPage {
    return { revision: records.length, changes: records.filter((change) => change.revision > after) }
  }

  function waitForChange (after: number, waitMs: number): Promise<void> {
    if (records.length > after) return Promise.resolve()
    return new Promise((resolve) => {
      const done = (): void => {
        timeout.cancel()
        watchers.delete(done)
        resolve()
      }
      const timeout = timer.after(waitMs, done)
      watchers.add(done)
    })
  }

  const service: ConfigService = {
    async readAll () {
      reads++
      return Ok(pageAfter(0))
    },
    async watch (after, waitMs) {
      reads++
      await waitForChange(after, waitMs)
      return Ok(pageAfter(after))
    },
    close: async () => {}
  }

  function startRelay (self: SubsetMember): void {
    const config = createConfiguration()
    const relay = createConfigRelay({
      timer,
      config,
      service,
      self,
      random,
      send (peer, msg) {
        messages++
        sentBytes.set(self.name, (sentBytes.get(self.name) ?? 0) + encodeFrame(msg).length)
        const target = nodes.get(peer)
        const delayMs = target?.region === self.region ? sameRegionDelayMs : otherRegionDelayMs
        timer.after(delayMs, () => target?.relay.handleMessage(self.name, msg))
      }
    })
    nodes.set(self.name, { config, relay, region: self.region })
    relay.setMembers(members)
    relay.start()
  }

  async function advance (ms: number): Promise<void> {
    for (let advancedMs = 0; advancedMs < ms; advancedMs += stepMs) {
      timer.advance(stepMs)
      // Lets the promises of reads settle, which takes several microtasks.
      for (let i = 0; i < 8; i++) await null
    }
  }

  function writeRecord (): void {
    records.push(buildBackendChange(records.length, records.length + 1))
    for (const resolveWatch of [...watchers]) resolveWatch()
  }

  function isAppliedEverywhere (): boolean {
    return [...nodes.values()].every(({ config }) => config.revision() === records.length)
  }

  async function measureChangeMs (limitMs: number): Promise<number> {
    writeRecord()
    const startMs = timer.now()
    while (!isAppliedEverywhere() && timer.now() - startMs < limitMs) await advance(stepMs)
    return timer.now() - startMs
  }

  writeRecord()
  for (const member of members) startRelay(member)
  for (const [name, { relay }] of nodes) {
    for (const peer of relay.wantedPeers()) {
      relay.addPeer(peer)
      nodes.get(peer)?.relay.addPeer(name)
    }
  }
  return {
    advance,
    measureChangeMs,
    takeCounts () {
      const all = [...sentBytes.values()]
      const counts = { messages, bytes: all.reduce((a, b) => a + b, 0), maxBytes: Math.max(0, ...all), reads }
      messages = 0
      reads = 0
      sentBytes.clear()
      return counts
    }
  }
}
