/**
 * Steps for random histories of a store that is restored from older copies, with readers and followers.
 */
import assert from 'node:assert/strict'
import { Then } from '@cucumber/cucumber'
import fc from 'fast-check'
import { createManualTimer } from '../../timer/mod.ts'
import { createRecordSet, createViewTracker } from './mod.ts'
import type { ManualTimer } from '../../timer/mod.ts'
import type { AppliedChanges, RecordSet, StoreChange, StorePosition, ViewState, ViewTracker } from './mod.ts'

interface World { wentBack: string[] }

const readerCount = 3
const processCount = 5
const stepMs = 50
const watchMs = 1_500
const messageMs = 40
const maxAgeMs = 2_000
/** Time in milliseconds after a restore within which the operator and the workers have written again what the copy lacks. */
const rewriteMs = 600
const eventsEndMs = 8_000
const rulesKey = 'rules'

enum EventKind {
  /** The operator writes the next version. */
  Version = 'version',
  /** A worker writes its entry, or removes it. */
  Worker = 'worker',
  /** A copy of the store is taken. */
  Copy = 'copy',
  /** The store goes back to the last copy; calls that wait are not told. */
  Restore = 'restore',
  /** A process is cut off from the store. */
  CutStore = 'cut_store',
  /** A process is cut off from another one. */
  CutPeer = 'cut_peer',
  /** A process starts again and knows nothing. */
  Replace = 'replace'
}

interface HistoryEvent {
  kind: EventKind
  atMs: number
  forMs: number
  who: number
  other: number
}

const historyEvent: fc.Arbitrary<HistoryEvent> = fc.record({
  kind: fc.constantFrom(...Object.values(EventKind)),
  atMs: fc.integer({ min: 0, max: eventsEndMs }),
  forMs: fc.integer({ min: 100, max: 4_000 }),
  who: fc.integer({ min: 0, max: processCount - 1 }),
  other: fc.integer({ min: 0, max: readerCount - 1 })
})

interface Store {
  items: Map<string, StoreChange>
  history: StoreChange[]
  era: number
  revision: number
}

interface Process {
  tracker: ViewTracker
  records: RecordSet
  version: number
  /** Position after which a watch waits, and the time in milliseconds at which it returns; undefined when the process doesn't wait. */
  waiting?: { after: Required<StorePosition>, untilMs: number }
}

function createProcess (): Process {
  return { tracker: createViewTracker({ prefixes: 1, maxAgeMs }), records: createRecordSet(), version: 0 }
}

function write (store: Store, key: string, value: string | null): void {
  const change = { key, era: store.era, revision: ++store.revision, value }
  store.items.set(key, change)
  store.history.push(change)
}

/** Plays a history on a manual timer; returns what went wrong. */
function playHistory (events: readonly HistoryEvent[]): { wentBack: string[], behind: string[] } {
  const timer: ManualTimer = createManualTimer()
  const store: Store = { items: new Map(), history: [], era: 1, revision: 10 }
  const written = new Map<string, string | null>()
  const wentBack: string[] = []
  let copy: Omit<Store, 'era'> = { items: new Map(), history: [], revision: 10 }
  const processes = Array.from({ length: processCount }, createProcess)
  const cutUntilMs = new Map<string, number>()
  const isCut = (link: string): boolean => timer.now() < (cutUntilMs.get(link) ?? -1)
  const isReader = (who: number): boolean => who < readerCount

  function writeNext (key: string, value: string | null): void {
    written.set(key, value)
    write(store, key, value)
  }

  function takeEffect (who: number, { later, passedOver }: AppliedChanges): void {
    const process = processes[who] as Process
    for (const { key, value } of [...later, ...passedOver]) {
      if (key !== rulesKey || value === null) continue
      const version = Number(value)
      if (version > process.version) process.version = version
    }
  }

  function readAll (who: number): void {
    const { tracker, records } = processes[who] as Process
    if (store.era > tracker.era()) tracker.enterEra(store.era)
    const items = [...store.items.values()].filter(({ value }) => value !== null).map((item) => ({ ...item, era: store.era }))
    takeEffect(who, records.applyAll('', items, store))
    tracker.recordRead(0, store.revision, timer.now())
    sendState(who)
  }

  /** Returns the next answer of the store to a process: its reads are short, its watches wait. */
  function read (who: number): void {
    const process = processes[who] as Process
    const { tracker, records } = process
    if (isCut(`store ${who}`)) {
      delete process.waiting
      return
    }
    if (!isReader(who) && tracker.isCovered(0, timer.now())) return
    const revision = tracker.revision(0)
    if (revision === undefined) return readAll(who)
    process.waiting ??= { after: { era: tracker.era(), revision }, untilMs: timer.now() + watchMs }
    const { after, untilMs } = process.waiting
    const changes = store.history.filter((change) => change.revision > after.revision)
    if (changes.length === 0 && timer.now() < untilMs) return
    delete process.waiting
    if (store.era !== tracker.era()) return readAll(who)
    if (after.era !== store.era) return
    takeEffect(who, records.apply(changes))
    tracker.recordRead(0, store.revision, timer.now())
    sendState(who)
  }

  function send (from: number, to: number, fn: (receiver: Process) => void): void {
    const link = `peer ${to} ${from}`
    const receiver = processes[to] as Process
    if (!isCut(link)) timer.after(messageMs, () => { if (!isCut(link) && processes[to] === receiver) fn(receiver) })
  }

  function sendState (who: number): void {
    const state = (processes[who] as Process).tracker.state(timer.now())
    if (!isReader(who) || state === undefined) return
    for (let to = 0; to < processCount; to++) {
      if (to === who) continue
      send(who, to, ({ tracker }) => {
        if (tracker.recordState(state, timer.now())) request(to, who, tracker)
      })
    }
  }

  function request (who: number, reader: number, tracker: ViewTracker): void {
    const [after, afterEra] = [tracker.revision(0) as number, tracker.era()]
    if (isCut(`peer ${who} ${reader}`)) return
    const giver = processes[reader] as Process
    const state: ViewState | undefined = giver.tracker.state(timer.now())
    if (state === undefined) return
    const changes = giver.records.listAfter('', { era: afterEra, revision: after })
    const rules = { key: rulesKey, revision: 0, value: String(giver.version) }
    send(reader, who, (receiver) => {
      if (!receiver.tracker.canAdd([after], afterEra, state)) return
      const isComplete = afterEra < (state.era ?? 0)
      const position = { era: state.era ?? 0, revision: state.revisions[0] as number }
      takeEffect(who, isComplete ? receiver.records.applyAll('', changes, position) : receiver.records.apply(changes))
      if (isComplete) takeEffect(who, { later: [rules], passedOver: [] })
      receiver.tracker.recordChanges(state, timer.now())
      // As in the product, a watch of the era before is left.
      if (isComplete) delete receiver.waiting
    })
  }

  const handlers: { readonly [K in EventKind]: (event: HistoryEvent) => void } = {
    [EventKind.Version]: () => writeNext(rulesKey, String(Number(written.get(rulesKey) ?? 0) + 1)),
    [EventKind.Worker]: ({ who, atMs, forMs }) => writeNext(`worker ${who}`, forMs % 4 === 0 ? null : String(atMs)),
    [EventKind.Copy] () { copy = { items: new Map(store.items), history: [...store.history], revision: store.revision } },
    [EventKind.Restore] () {
      store.items = new Map(copy.items)
      store.history = [...copy.history]
      store.revision = copy.revision
      store.era++
      const { era } = store
      timer.after(rewriteMs, () => {
        if (era !== store.era) return
        for (const [key, value] of written) if ((store.items.get(key)?.value ?? null) !== value) write(store, key, value)
      })
    },
    [EventKind.CutStore]: ({ who, forMs }) => { cutUntilMs.set(`store ${who}`, timer.now() + forMs) },
    [EventKind.CutPeer]: ({ who, other, forMs }) => { cutUntilMs.set(`peer ${who} ${other}`, timer.now() + forMs) },
    [EventKind.Replace]: ({ who }) => { processes[who] = createProcess() }
  }

  writeNext(rulesKey, '1')
  for (const event of events) timer.after(event.atMs, () => handlers[event.kind](event))
  const versions = processes.map((process) => ({ process, version: 0 }))
  timer.every(stepMs, () => {
    processes.forEach((process, who) => {
      read(who)
      const last = versions[who] as { process: Process, version: number }
      if (last.process === process && process.version < last.version) wentBack.push(`process ${who} from ${last.version} to ${process.version}`)
      versions[who] = { process, version: process.version }
    })
  })
  const lastMs = Math.max(0, ...events.map(({ atMs, forMs, kind }) => atMs + (kind === EventKind.CutStore || kind === EventKind.CutPeer ? forMs : 0)))
  timer.advance(lastMs + 4_000)
  const behind = processes.flatMap(({ version, records }, who) => {
    const isSame = [...written].every(([key, value]) => (records.get(key)?.value ?? null) === value)
    return isSame && version === Number(written.get(rulesKey)) ? [] : [`process ${who}: version ${version}, ${JSON.stringify(records.all())}, store ${JSON.stringify([...written])}`]
  })
  return { wentBack, behind }
}

Then('in {int} random histories of a store that is restored, {int} readers and {int} followers, all agree with the store {int} ms after the last event',
  function (this: World, numRuns: number, readers: number, followers: number, ms: number) {
    assert.deepEqual([readers, followers, ms], [readerCount, processCount - readerCount, 4_000])
    this.wentBack = []
    fc.assert(fc.property(fc.array(historyEvent, { maxLength: 25 }), (events) => {
      const { wentBack, behind } = playHistory(events)
      this.wentBack.push(...wentBack)
      assert.deepEqual(behind, [])
    }), { seed: 28, numRuns })
  })

Then('in none of them a version in force has gone back', function (this: World) { assert.deepEqual(this.wentBack, []) })
