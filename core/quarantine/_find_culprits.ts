/**
 * Finds the parts of prompts that explain a set of crashes.
 */

/** Stands in an observation for a first part that has been cleared. */
export const clearedPart = ''

/** A crash observation with the time of the crash on the local clock. */
export interface TimedCrash {
  crash: string
  /** The parts that may be to blame, the prompt's first part in front; `clearedPart` in its place when that has been cleared. */
  parts: readonly string[]
  /** The same parts, without `clearedPart`. */
  suspects: ReadonlySet<string>
  atMs: number
}

/** Parts that occurred together in enough crashes to explain them. */
export interface Culprit {
  parts: readonly string[]
  /** True for one part that is the first of all prompts that crashed. */
  isFirstPartAlone: boolean
  /** Time in milliseconds of the last crash that they explain. */
  lastMs: number
}

/** Numbers of crashes that make a culprit; see `QuarantineOptions`. */
export interface CulpritThresholds {
  minCrashes: number
  minFirstPartCrashes: number
}

/** Crashes closer than this are counted as one: a failure of a rack or zone crashes many engines at once, whatever their prompts. */
const minSpacingMs = 200

/** Parts that occurred in the same observations. */
interface PartGroup {
  parts: string[]
  observations: readonly TimedCrash[]
}

/** Largest number of groups that are compared with each other, which takes some ten milliseconds; those with the most observations go first. */
const maxGroups = 128

/**
 * Finds the culprits among crashes, the most specific one first. A crash that one culprit explains is not held against other parts of
 * the same prompts, so that a part shared with sound prompts is not blamed for its neighbour.
 *
 * @param observations the crashes, the oldest one first
 * @param thresholds numbers of crashes that make a culprit
 * @param onDropped called with the number of groups of parts that are left out of the search
 */
export function findCulprits (observations: readonly TimedCrash[], thresholds: CulpritThresholds, onDropped: (count: number) => void): Culprit[] {
  const culprits: Culprit[] = []
  const largest = groupParts(observations, thresholds.minCrashes).sort((a, b) => b.observations.length - a.observations.length)
  if (largest.length > maxGroups) onDropped(largest.length - maxGroups)
  let groups = largest.slice(0, maxGroups)
  for (;;) {
    const culprit = findMostSpecific(groups, thresholds)
    if (culprit === undefined) return culprits
    culprits.push(culprit)
    const explained = new Set(observations.filter((crash) => isExplained(crash, culprit)).map(({ crash }) => crash))
    groups = groups.map(({ parts, observations }) => ({ parts, observations: observations.filter(({ crash }) => !explained.has(crash)) }))
      .filter((group) => countSpaced(group.observations) >= thresholds.minCrashes)
  }
}

/** Tells whether a crashed prompt had all parts of a culprit. */
export function isExplained ({ suspects }: TimedCrash, { parts }: Culprit): boolean {
  return parts.every((part) => suspects.has(part))
}

/** Groups the parts that occurred in at least `minCount` crashes at different times. */
function groupParts (observations: readonly TimedCrash[], minCount: number): PartGroup[] {
  const numbersByPart = new Map<string, number[]>()
  for (const [number, { suspects }] of observations.entries()) {
    for (const part of suspects) {
      const numbers = numbersByPart.get(part)
      if (numbers === undefined) numbersByPart.set(part, [number])
      else numbers.push(number)
    }
  }
  const groups = new Map<string, PartGroup>()
  for (const [part, numbers] of numbersByPart) {
    if (numbers.length < minCount) continue
    const key = numbers.join()
    const group = groups.get(key)
    if (group === undefined) groups.set(key, { parts: [part], observations: numbers.map((number) => observations[number] as TimedCrash) })
    else group.parts.push(part)
  }
  return [...groups.values()].filter((group) => countSpaced(group.observations) >= minCount)
}

function findMostSpecific (groups: readonly PartGroup[], thresholds: CulpritThresholds): Culprit | undefined {
  let best: Culprit | undefined
  for (const { observations } of groups) {
    const common = groups.flatMap((other) => observations.every((crash) => crash.suspects.has(other.parts[0] as string)) ? other.parts : [])
    const isFirstPartAlone = common.length === 1 && observations.every(({ parts }) => parts[0] === common[0])
    const needed = isFirstPartAlone ? thresholds.minFirstPartCrashes : thresholds.minCrashes
    if (common.length <= (best?.parts.length ?? 0) || countSpaced(observations) < needed) continue
    best = { parts: common, isFirstPartAlone, lastMs: Math.max(...observations.map(({ atMs }) => atMs)) }
  }
  return best
}

/** Counts different crashes that are at least the smallest spacing apart. */
function countSpaced (observations: readonly TimedCrash[]): number {
  const firstMs = new Map<string, number>()
  for (const { crash, atMs } of observations) firstMs.set(crash, Math.min(atMs, firstMs.get(crash) ?? Infinity))
  let count = 0
  let lastMs = -Infinity
  for (const atMs of [...firstMs.values()].sort((a, b) => a - b)) {
    if (atMs - lastMs < minSpacingMs) continue
    count++
    lastMs = atMs
  }
  return count
}
