/**
 * The parts of prompts that engines have recently answered without a crash.
 */

/** Remembers parts for the time for which they are taken as sound. */
export interface SoundParts {
  isSound (part: string, nowMs: number): boolean
  /** Tells whether the part is sound, and this process has seen the answer itself. */
  isOwnSound (part: string, nowMs: number): boolean
  /** Marks parts as sound from now on; `isOwn` when this process has seen the answer. What others have seen does not replace that. */
  mark (parts: readonly string[], isOwn: boolean, nowMs: number): void
}

/** Configures the memory of sound parts. */
export interface SoundPartsOptions {
  /** Time in milliseconds for which a part is taken as sound. */
  soundMs: number
  /** Called with the number of parts that the bound has pushed out before their time. */
  onDropped: (count: number) => void
}

/** Largest number of parts that are remembered; those not seen for longest go first. */
const maxParts = 32_768

/** Creates an empty memory of sound parts. */
export function createSoundParts ({ soundMs, onDropped }: SoundPartsOptions): SoundParts {
  /** In the order of the last update, so the first ones expire first. */
  const known = new Map<string, { untilMs: number, isOwn: boolean }>()

  function isSound (part: string, nowMs: number): boolean {
    return (known.get(part)?.untilMs ?? -Infinity) > nowMs
  }

  function isOwnSound (part: string, nowMs: number): boolean {
    return isSound(part, nowMs) && known.get(part)?.isOwn === true
  }

  function dropOldest (nowMs: number): void {
    let dropped = 0
    for (const [part, { untilMs }] of known) {
      const hasExpired = untilMs <= nowMs
      if (!hasExpired && known.size <= maxParts) break
      known.delete(part)
      if (!hasExpired) dropped++
    }
    if (dropped > 0) onDropped(dropped)
  }

  return {
    isSound,
    isOwnSound,
    mark (parts, isOwn, nowMs) {
      for (const part of parts) {
        if (!isOwn && isOwnSound(part, nowMs)) continue
        known.delete(part)
        known.set(part, { untilMs: nowMs + soundMs, isOwn })
      }
      dropOldest(nowMs)
    }
  }
}
