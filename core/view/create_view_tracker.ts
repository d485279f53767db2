/**
 * The state of a process that follows the readers of the store.
 */

/** Describes how much of the store a process knows, for each of the prefixes that it reads. */
export interface ViewState {
  /** Era of the store to which the revisions belong; absent for the lowest era, 0. */
  era?: number
  /** Revision of the store up to which all changes are known. */
  revisions: readonly number[]
  /** Time in milliseconds since the store is known to have had no later change. */
  agesMs: readonly number[]
}

/** Configures a tracker. */
export interface ViewTrackerOptions {
  /** Number of prefixes. */
  prefixes: number
  /** Age in milliseconds beyond which the view of the readers is not relied on. */
  maxAgeMs: number
}

/** Tracks how much of the store a process knows, and whether it can rely on others for later changes. */
export interface ViewTracker {
  /** Returns the era of the store to which the known revisions belong. */
  era (): number
  /** Begins a later era: all prefixes must be read completely again, and what others told of an earlier era counts no more. */
  enterEra (era: number): void
  /** Returns the revision up to which all changes of a prefix are known; undefined before its first complete read. */
  revision (prefix: number): number | undefined
  /**
   * Records that this process has read all changes of a prefix up to a revision of the current era from the store itself. A complete read
   * finds what there is and not what has been deleted before, so what this process knows of deletions begins with it.
   */
  recordRead (prefix: number, revision: number, nowMs: number, isComplete?: boolean): void
  /** Tells whether this process knows every change of a prefix after a revision of the current era, deletions too. */
  knowsAllAfter (prefix: number, revision: number): boolean
  /** Forgets the revision of a prefix, which must be read completely again. */
  forget (prefix: number): void
  /** Records the state of another process; returns true when that process knows changes that this one lacks. */
  recordState (state: ViewState, nowMs: number): boolean
  /**
   * Tells whether the changes that bring a process from the revisions `after` of the era `afterEra` to `state` may be added to those that
   * this process knows, so that none is missing between them; changes from an earlier era to a later one are all items of the later one,
   * and so are those of a prefix for which `complete` is true.
   */
  canAdd (after: readonly number[], afterEra?: number, state?: ViewState, complete?: readonly boolean[]): boolean
  /** Records that this process has all changes that the sender of a state has; `complete` is true for a prefix of which it got all items. */
  recordChanges (state: ViewState, nowMs: number, complete?: readonly boolean[]): void
  /** Tells whether the view of other processes is recent enough that this one need not read a prefix. */
  isCovered (prefix: number, nowMs: number): boolean
  /** Returns the state of this process for others; undefined before all prefixes have been read. */
  state (nowMs: number): ViewState | undefined
  /** Returns how old the view of a prefix is by own reads and by those of others, in milliseconds; infinite without any. */
  ages (prefix: number, nowMs: number): { readAgeMs: number, toldAgeMs: number }
}

/**
 * Creates the tracker of a process that knows nothing.
 *
 * The load that it answers: with hundreds of processes, each change of a worker wakes every watch, and reads of the store grow with
 * processes times changes. Here only a few readers of each region watch the store. Their word counts for as long as the store has
 * answered them within `maxAgeMs`, and only while this process has every change that they know. As soon as all of them are cut off,
 * frozen, killed or refused by the store, each process reads for itself, from the revision that it has.
 *
 * The revisions of two eras cannot be compared. A process follows a reader of a later era with all that this reader knows, and relies
 * on nobody who speaks of an earlier era than the latest one that it has heard of.
 *
 * @param options the number of prefixes and the longest age
 * @returns the tracker
 *
 * @example
 * ```ts
 * import { createViewTracker } from 'briarloom/core/view'
 *
 * const tracker = createViewTracker({ prefixes: 1, maxAgeMs: 2000 })
 * tracker.recordRead(0, 7, 0)
 * tracker.recordState({ revisions: [7], agesMs: [100] }, 1000)
 * console.assert(tracker.isCovered(0, 2900) && !tracker.isCovered(0, 2901))
 * ```
 */
export function createViewTracker (options: ViewTrackerOptions): ViewTracker {
  const { prefixes, maxAgeMs } = options
  const known = new Array<number | undefined>(prefixes).fill(undefined)
  /** Revisions after which every change is known. */
  const knownAfter = new Array<number>(prefixes).fill(Infinity)
  /** Times in milliseconds at which the store had no change that this process lacks, by its own reads and by those of others. */
  const readMs = new Array<number>(prefixes).fill(-Infinity)
  const toldMs = new Array<number>(prefixes).fill(-Infinity)
  let era = 0
  /** Latest era that another process has named. */
  let toldEra = 0

  function isComplete (): boolean { return known.every((revision) => revision !== undefined) }

  function enterEra (next: number): void {
    era = next
    known.fill(undefined)
    knownAfter.fill(Infinity)
    toldMs.fill(-Infinity)
  }

  /** Records the age of another process's view of each prefix whose changes this process has. */
  function recordAges ({ era: stateEra = 0, revisions, agesMs }: ViewState, nowMs: number): void {
    if (stateEra !== era || toldEra > era) return
    known.forEach((revision, prefix) => {
      if (revision === undefined || revision < (revisions[prefix] ?? Infinity)) return
      toldMs[prefix] = Math.max(toldMs[prefix] as number, nowMs - (agesMs[prefix] ?? Infinity))
    })
  }

  return {
    era: () => era,
    enterEra,
    revision: (prefix) => known[prefix],
    recordRead (prefix, revision, nowMs, isComplete = false) {
      if (isComplete) knownAfter[prefix] = known[prefix] === undefined ? revision : Math.max(revision, knownAfter[prefix] as number)
      known[prefix] = Math.max(known[prefix] ?? 0, revision)
      readMs[prefix] = nowMs
    },
    knowsAllAfter: (prefix, revision) => revision >= (knownAfter[prefix] as number),
    forget (prefix) {
      known[prefix] = undefined
      knownAfter[prefix] = Infinity
      toldMs[prefix] = -Infinity
    },
    recordState (state, nowMs) {
      const { era: stateEra = 0, revisions } = state
      toldEra = Math.max(toldEra, stateEra)
      recordAges(state, nowMs)
      if (!isComplete() || stateEra < era) return false
      return stateEra > era || known.some((revision, prefix) => (revisions[prefix] ?? 0) > (revision as number))
    },
    canAdd (after, afterEra = 0, state, complete) {
      const stateEra = state?.era ?? 0
      if (!isComplete() || stateEra < era) return false
      // An answer to a process that had read nothing holds no items, which is not the same as an era without any.
      if (afterEra < stateEra) return known.every((_revision, prefix) => state?.revisions[prefix] !== undefined && after[prefix] !== undefined)
      return afterEra === era && known.every((revision, prefix) => complete?.[prefix] === true || (after[prefix] ?? Infinity) <= (revision as number))
    },
    recordChanges (state, nowMs, complete) {
      const isNewEra = (state.era ?? 0) > era
      if (isNewEra) enterEra(state.era ?? 0)
      known.forEach((revision, prefix) => {
        const next = state.revisions[prefix] ?? 0
        if ((isNewEra || complete?.[prefix]) && next > (revision ?? -1)) knownAfter[prefix] = next
        known[prefix] = Math.max(revision ?? 0, next)
      })
      recordAges(state, nowMs)
    },
    isCovered: (prefix, nowMs) => known[prefix] !== undefined && nowMs - (toldMs[prefix] as number) <= maxAgeMs,
    state (nowMs) {
      if (!isComplete()) return undefined
      const agesMs = known.map((_revision, prefix) => nowMs - Math.max(readMs[prefix] as number, toldMs[prefix] as number))
      return { ...(era === 0 ? {} : { era }), revisions: [...known as number[]], agesMs }
    },
    ages: (prefix, nowMs) => ({ readAgeMs: nowMs - (readMs[prefix] as number), toldAgeMs: nowMs - (toldMs[prefix] as number) })
  }
}
