/**
 * The quarantine of one process.
 */
import { EvidenceKind } from './_types.ts'
import { createCrashMemory } from './_create_crash_memory.ts'
import { createSoundParts } from './_create_sound_parts.ts'
import { clearedPart } from './_find_culprits.ts'
import type { Culprit, TimedCrash } from './_find_culprits.ts'
import type { CrashObservation, PromptEvidence, Quarantine, QuarantineMatch, QuarantineOptions } from './_types.ts'

/** Largest number of crashes and of sound parts that are told or taken at once; more of them than are remembered would be of no use. */
const maxToldCrashes = 256
const maxToldSoundParts = 32_768
const msPerMinute = 60_000

/**
 * Creates an empty quarantine. Parts of prompts are quarantined when they occurred together at the start of requests that crashed
 * several engines at different times, and a part is cleared as soon as an engine answers a prompt with it.
 *
 * @param options numbers of crashes, and times in milliseconds
 * @returns the quarantine
 *
 * @example
 * ```ts
 * import { createQuarantine } from 'briarloom/core/quarantine'
 *
 * const quarantine = createQuarantine()
 * for (const [atMs, engine] of ['i-1', 'i-2', 'i-3'].entries()) quarantine.recordCrash(engine, ['system', 'letter'], atMs * 1000)
 * console.assert(quarantine.find(['system', 'letter'], 3000) !== undefined)
 * console.assert(quarantine.find(['system'], 3000) === undefined)
 * ```
 */
export function createQuarantine (options: QuarantineOptions = {}): Quarantine {
  const { minCrashes = 3, minFirstPartCrashes = 5, memoryMs = 30 * msPerMinute, soundMs = 5_000 } = options
  const { quarantineMs = 10 * msPerMinute, firstPartQuarantineMs = msPerMinute, onDropped = () => {} } = options
  const crashes = createCrashMemory({
    minCrashes,
    minFirstPartCrashes,
    onDropped: (count) => onDropped(EvidenceKind.Crash, count),
    onUnsearched: (count) => onDropped(EvidenceKind.PartGroup, count)
  })
  const soundParts = createSoundParts({ soundMs, onDropped: (count) => onDropped(EvidenceKind.SoundPart, count) })
  let newCrashes: TimedCrash[] = []
  const newSound = new Set<string>()

  /** Returns the first `most` items, and counts those that are left out. */
  function bound<T> (kind: EvidenceKind, items: readonly T[], most: number): readonly T[] {
    if (items.length <= most) return items
    onDropped(kind, items.length - most)
    return items.slice(0, most)
  }

  function dropExpired (nowMs: number): void {
    const remembered = crashes.all()
    if (remembered.some(({ atMs }) => nowMs - atMs > memoryMs)) crashes.replace(remembered.filter(({ atMs }) => nowMs - atMs <= memoryMs))
  }

  /** Returns an observation of the parts that are not sound; undefined when it has none or is known. */
  function observe (crash: string, prompt: readonly string[], atMs: number, nowMs: number): TimedCrash | undefined {
    const suspects = new Set(prompt.filter((part) => part !== clearedPart && !soundParts.isSound(part, nowMs)))
    if (suspects.size === 0 || nowMs - atMs > memoryMs || crashes.hasObservation(crash, suspects)) return undefined
    return createObservation(crash, prompt[0] as string, suspects, atMs)
  }

  /** Marks parts as sound and removes them from the observations; returns those that an observation contained. */
  function clear (parts: readonly string[], isOwn: boolean, nowMs: number): string[] {
    soundParts.mark(parts, isOwn, nowMs)
    const cleared = parts.filter(crashes.hasSuspect)
    if (cleared.length > 0) {
      const removed = new Set(cleared)
      crashes.replace(crashes.all().flatMap(({ crash, parts: [first], suspects, atMs }) => {
        const remaining = new Set([...suspects].filter((part) => !removed.has(part)))
        return remaining.size === 0 ? [] : [createObservation(crash, first as string, remaining, atMs)]
      }))
    }
    return cleared
  }

  function toEvidence (told: readonly TimedCrash[], sound: string[], nowMs: number): PromptEvidence | undefined {
    if (told.length === 0 && sound.length === 0) return undefined
    return { crashes: told.map(({ crash, parts, atMs }) => ({ crash, parts: [...parts], ageMs: Math.max(0, nowMs - atMs) })), sound }
  }

  /** Returns the time in milliseconds until the quarantine of a culprit ends; 0 or less when it has ended. */
  function getRemainingMs ({ lastMs, isFirstPartAlone }: Culprit, nowMs: number): number {
    return lastMs + (isFirstPartAlone ? firstPartQuarantineMs : quarantineMs) - nowMs
  }

  function toMatch (culprit: Culprit, nowMs: number): QuarantineMatch {
    return { parts: culprit.parts, remainingMs: getRemainingMs(culprit, nowMs) }
  }

  /** Adds the crashes that another process tells of; returns those that were not known. */
  function addTold (told: readonly CrashObservation[], nowMs: number): TimedCrash[] {
    const added: TimedCrash[] = []
    for (const { crash, parts, ageMs } of bound(EvidenceKind.Crash, told, maxToldCrashes)) {
      // The sender does not know of the recent answers that clear these parts. Only the process that saw an answer tells of it, since
      // others that repeated it would extend it without end.
      for (const part of parts) if (soundParts.isOwnSound(part, nowMs)) newSound.add(part)
      const observation = observe(crash, parts, nowMs - ageMs, nowMs)
      if (observation !== undefined) added.push(observation)
    }
    if (added.length > 0) crashes.replace([...crashes.all(), ...added])
    return added
  }

  return {
    recordCrash (crash, parts, nowMs) {
      dropExpired(nowMs)
      const observation = observe(crash, parts, nowMs, nowMs)
      if (observation === undefined) return false
      crashes.replace([...crashes.all(), observation])
      newCrashes.push(observation)
      if (newCrashes.length > maxToldCrashes) {
        newCrashes.shift()
        onDropped(EvidenceKind.Crash, 1)
      }
      return true
    },
    recordSurvival (parts, nowMs) {
      for (const part of clear(parts, true, nowMs)) newSound.add(part)
    },
    find (parts, nowMs) {
      const inForce = crashes.culprits().filter((culprit) => getRemainingMs(culprit, nowMs) > 0)
      if (inForce.length === 0) return undefined
      const prompt = new Set(parts)
      const culprit = inForce.find((known) => known.parts.every((part) => prompt.has(part)))
      return culprit === undefined ? undefined : toMatch(culprit, nowMs)
    },
    list: (nowMs) => crashes.culprits().filter((culprit) => getRemainingMs(culprit, nowMs) > 0).map((culprit) => toMatch(culprit, nowMs)),
    merge (evidence, nowMs) {
      dropExpired(nowMs)
      const sound = clear(bound(EvidenceKind.SoundPart, evidence.sound, maxToldSoundParts), false, nowMs)
      return toEvidence(addTold(evidence.crashes, nowMs), sound, nowMs)
    },
    takeNews (nowMs) {
      const news = toEvidence(newCrashes, [...newSound], nowMs)
      newCrashes = []
      newSound.clear()
      return news
    },
    snapshot (nowMs) {
      dropExpired(nowMs)
      return toEvidence(crashes.all(), [], nowMs)
    }
  }
}

/** Creates an observation; `first` is the first part of the prompt, whether it is a suspect or not. */
function createObservation (crash: string, first: string, suspects: ReadonlySet<string>, atMs: number): TimedCrash {
  const parts = suspects.has(first) ? [first, ...[...suspects].filter((part) => part !== first)] : [clearedPart, ...suspects]
  return { crash, parts, suspects, atMs }
}
