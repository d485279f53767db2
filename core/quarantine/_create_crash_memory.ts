/**
 * The crash observations that a quarantine remembers, within bounds.
 */
import { findCulprits, isExplained } from './_find_culprits.ts'
import type { Culprit, CulpritThresholds, TimedCrash } from './_find_culprits.ts'

/** Remembers observations, and what they prove. */
export interface CrashMemory {
  /** Returns the observations, the oldest one first. */
  all (): readonly TimedCrash[]
  /** Returns the parts that explain the observations, the most specific ones first. */
  culprits (): readonly Culprit[]
  /** Tells whether an observation has the part among its suspects. */
  hasSuspect (part: string): boolean
  /** Tells whether an observation of the crash has all of the parts. */
  hasObservation (crash: string, suspects: ReadonlySet<string>): boolean
  /** Replaces the observations. */
  replace (next: readonly TimedCrash[]): void
}

/** Configures a crash memory. */
export interface CrashMemoryOptions extends CulpritThresholds {
  /** Called with the number of observations that the bounds have pushed out. */
  onDropped: (count: number) => void
  /** Called with the number of groups of parts that a search leaves out. */
  onUnsearched: (count: number) => void
}

/** Largest number of observations that are remembered; one crash can break many streams that have just begun. */
const maxObservations = 256
/** Largest number of characters of all parts that are remembered: one message holds them all, and each crash has them searched. */
const maxCharacters = 262_144

function countCharacters ({ parts }: TimedCrash): number {
  return parts.reduce((sum, part) => sum + part.length, 0)
}

/** Creates an empty crash memory. */
export function createCrashMemory ({ onDropped, onUnsearched, ...thresholds }: CrashMemoryOptions): CrashMemory {
  let observations: readonly TimedCrash[] = []
  let culprits: Culprit[] = []
  let suspects = new Set<string>()
  const byCrash = new Map<string, TimedCrash[]>()

  /**
   * Returns the observations that fit the bounds. Those that no culprit explains go first: accidents would push out the evidence that holds
   * prompts back. The newest one stays.
   */
  function keepWithinBounds (next: readonly TimedCrash[]): readonly TimedCrash[] {
    let count = next.length
    let characters = next.reduce((sum, observation) => sum + countCharacters(observation), 0)
    if (count <= maxObservations && characters <= maxCharacters) return next
    const proven = findCulprits(next, thresholds, onUnsearched)
    const explained = new Set(next.filter((observation) => proven.some((culprit) => isExplained(observation, culprit))))
    const inOrder = [...next.slice(0, -1)].sort((a, b) => Number(explained.has(a)) - Number(explained.has(b)))
    const dropped = new Set<TimedCrash>()
    for (const observation of inOrder) {
      if (count <= maxObservations && characters <= maxCharacters) break
      dropped.add(observation)
      count--
      characters -= countCharacters(observation)
    }
    onDropped(dropped.size)
    return next.filter((observation) => !dropped.has(observation))
  }

  return {
    all: () => observations,
    culprits: () => culprits,
    hasSuspect: (part) => suspects.has(part),
    hasObservation: (crash, parts) => (byCrash.get(crash) ?? []).some((known) => [...parts].every((part) => known.suspects.has(part))),
    replace (next) {
      observations = keepWithinBounds(next)
      culprits = findCulprits(observations, thresholds, onUnsearched)
      suspects = new Set(observations.flatMap((observation) => [...observation.suspects]))
      byCrash.clear()
      for (const observation of observations) byCrash.set(observation.crash, [...byCrash.get(observation.crash) ?? [], observation])
    }
  }
}
