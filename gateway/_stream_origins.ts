/**
 * Remembers what began streams beyond the life of this gateway, and finds out what began the stream that a client takes up.
 */
import { choosePoints, createOriginTable } from '../core/origin/mod.ts'
import { hashText } from '../core/subset/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import type { Origin, OriginRecord, PointCandidate } from '../core/origin/mod.ts'
import type { Directory } from '../directory/mod.ts'
import type { Log } from '../log/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { SidecarClient } from './_sidecar_client.ts'

/** Configures the origins of streams. */
export interface StreamOriginsOptions {
  directory: Directory
  sidecars: Pick<SidecarClient, 'addressOf' | 'connectionNumber' | 'sendToPoint' | 'receive'>
  /** Region of each zone. */
  regions: { readonly [zone: string]: string }
  timer: Timer
  log: Log
}

/** What is known of the stream that a client takes up. */
export interface FoundOrigin {
  /** Absent when it is not known. */
  origin?: Origin
  /** True when all points that should know it have said that they do not; asking again changes nothing. */
  isFinal: boolean
}

/** What began streams. */
export interface StreamOrigins {
  /** Records what begins the stream of a client attempt; called before its first event is passed on. */
  record (record: OriginRecord): void
  /** Finds out what began the stream whose first event a client attempt brought. */
  find (requestId: string): Promise<FoundOrigin>
  /** Returns the number of streams whose origin is remembered. */
  size (): number
  close (): void
}

/** Number of sidecars that remember each stream: two of them may be lost. */
const pointCount = 3
/** Number of sidecars asked beyond those: the choice may have changed since the stream began. */
const extraPoints = 2
/** Number of groups into which requests are divided; those of a group have the same points. */
const groupCount = 512
/** Time in milliseconds for which an origin is kept after its last use: several times what a client waits for a stream. */
const keepMs = 60_000
const maxRecords = 20_000
const checkMs = 500
/** Time in milliseconds for which the origin of a stream is sought: a gateway that has just started opens its connections within it. */
const findTimeoutMs = 900
const findCheckMs = 50
/** Number of records in one message. */
const maxBatch = 200
/** Longest request id that is remembered, in characters. */
const maxRequestIdLength = 128

interface Search {
  /** Sidecars that have been asked, with the number of the connection, and those that know nothing. */
  asked: Map<string, number>
  withoutOrigin: Set<string>
  finish (found: FoundOrigin): void
}

/** Creates the origins of the streams of one gateway. */
export function createStreamOrigins (options: StreamOriginsOptions): StreamOrigins {
  const { directory, sidecars, regions, timer, log } = options
  const own = createOriginTable({ maxRecords, keepMs })
  /** The sidecars that have been told of each own record, as `address#connection`. */
  const toldTo = new Map<string, Set<string>>()
  const searches = new Map<string, Set<Search>>()
  let candidates: PointCandidate[] = []
  let candidateNames = ''
  const pointsByGroup = new Map<string, readonly string[]>()
  let lastTargets = ''

  function refreshCandidates (): void {
    const next = directory.fleet.all().flatMap((worker): PointCandidate[] => {
      const name = worker.entry.stage === undefined ? undefined : sidecars.addressOf(worker)
      if (name === undefined) return []
      const isLeaving = worker.drainingSinceMs !== undefined || worker.word.leavingSinceMs !== undefined
      return [{ name, nameHash: hashText(name), zone: worker.entry.zone, region: regions[worker.entry.zone] ?? '', isLeaving }]
    })
    const names = next.map(({ name, isLeaving }) => `${name}${isLeaving ? '-' : '+'}`).sort().join(' ')
    if (names === candidateNames) return
    candidateNames = names
    candidates = next
    pointsByGroup.clear()
  }

  function groupOf (requestId: string): string { return String(hashText(requestId) % groupCount) }

  /** Returns the sidecars that are to remember a request. */
  function pointsOf (requestId: string): readonly string[] {
    const key = groupOf(requestId)
    const known = pointsByGroup.get(key)
    if (known !== undefined) return known
    const points = choosePoints({ key, candidates, count: pointCount })
    pointsByGroup.set(key, points)
    return points
  }

  /** Returns the sidecars that may remember a request: those of now, and those from before some of them began to leave. */
  function listSources (requestId: string): string[] {
    const key = groupOf(requestId)
    const before = choosePoints({ key, candidates: candidates.map((candidate) => ({ ...candidate, isLeaving: false })), count: pointCount })
    return [...new Set([...choosePoints({ key, candidates, count: pointCount + extraPoints }), ...before])]
  }

  /** Adds a record to the batches of the points that have not been told of it over their connection. */
  function addToBatches (record: OriginRecord, batches: Map<string, OriginRecord[]>): void {
    const told = toldTo.get(record.requestId) ?? new Set()
    toldTo.set(record.requestId, told)
    for (const address of pointsOf(record.requestId)) {
      const number = sidecars.connectionNumber(address)
      if (number === undefined || told.has(`${address}#${number}`)) continue
      told.add(`${address}#${number}`)
      batches.set(address, [...batches.get(address) ?? [], record])
    }
  }

  function sendBatches (batches: Map<string, OriginRecord[]>): void {
    for (const [address, records] of batches) {
      for (let start = 0; start < records.length; start += maxBatch) {
        sidecars.sendToPoint(address, { kind: MessageKind.StreamOrigins, origins: records.slice(start, start + maxBatch) })
      }
    }
  }

  /** Tells points of what began earlier, when the points or the connections to them have changed. */
  function tellChangedPoints (): void {
    refreshCandidates()
    const targets = candidates.map(({ name }) => `${name}#${sidecars.connectionNumber(name) ?? ''}`).join(' ') + candidateNames
    if (targets === lastTargets) return
    lastTargets = targets
    const records = own.list(timer.now())
    const kept = new Set(records.map(({ requestId }) => requestId))
    for (const requestId of toldTo.keys()) if (!kept.has(requestId)) toldTo.delete(requestId)
    const batches = new Map<string, OriginRecord[]>()
    for (const record of records) addToBatches(record, batches)
    if (batches.size > 0) log.info({ sidecars: batches.size, streams: records.length }, 'origins of streams passed on')
    sendBatches(batches)
  }

  function ask (requestId: string, search: Search, sources: readonly string[]): void {
    for (const address of sources) {
      const number = sidecars.connectionNumber(address)
      if (number === undefined || search.asked.get(address) === number) continue
      if (sidecars.sendToPoint(address, { kind: MessageKind.OriginRequest, requestId })) search.asked.set(address, number)
    }
  }

  function search (requestId: string): Promise<FoundOrigin> {
    return new Promise((resolve) => {
      const sinceMs = timer.now()
      const ownSearch: Search = {
        asked: new Map(),
        withoutOrigin: new Set(),
        finish (found) {
          checks.cancel()
          const others = searches.get(requestId)
          others?.delete(ownSearch)
          if (others?.size === 0) searches.delete(requestId)
          resolve(found)
        }
      }
      searches.set(requestId, (searches.get(requestId) ?? new Set()).add(ownSearch))

      function check (): void {
        refreshCandidates()
        const sources = listSources(requestId)
        ask(requestId, ownSearch, sources)
        const isFinal = sources.length > 0 && sources.every((address) => ownSearch.withoutOrigin.has(address))
        if (isFinal || timer.now() - sinceMs >= findTimeoutMs) ownSearch.finish({ isFinal })
      }

      const checks = timer.every(findCheckMs, check)
      check()
    })
  }

  sidecars.receive(MessageKind.OriginReply, (address, { requestId, origin, isAmbiguous }) => {
    for (const waiting of [...searches.get(requestId) ?? []]) {
      if (origin !== undefined) waiting.finish({ origin, isFinal: true })
      else if (isAmbiguous) waiting.finish({ isFinal: true })
      else waiting.withoutOrigin.add(address)
    }
  })

  const checks = timer.every(checkMs, tellChangedPoints)

  return {
    record (record) {
      if (record.requestId.length > maxRequestIdLength) return
      if (!own.record(record, timer.now())) return
      // A record that contradicts an earlier one is told to those who have been told of that.
      toldTo.delete(record.requestId)
      if (candidates.length === 0) refreshCandidates()
      const batches = new Map<string, OriginRecord[]>()
      addToBatches(record, batches)
      sendBatches(batches)
      if (toldTo.size > 2 * maxRecords) toldTo.delete(toldTo.keys().next().value as string)
    },
    async find (requestId) {
      const origin = own.find(requestId, timer.now())
      if (origin !== undefined) return { origin, isFinal: true }
      if (own.isAmbiguous(requestId) || requestId.length > maxRequestIdLength) return { isFinal: true }
      return await search(requestId)
    },
    size: own.size,
    close () { checks.cancel() }
  }
}
