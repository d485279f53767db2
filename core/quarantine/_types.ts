/**
 * Types for the quarantine of prompts.
 */

/** One request that had just begun at an engine when the engine crashed. */
export interface CrashObservation {
  /** Identity of the crashed incarnation of the engine. */
  crash: string
  /** Ids of the prompt's parts that other prompts share, in order; an empty string stands for a part that has been cleared. */
  parts: string[]
  /** Time in milliseconds since the crash. */
  ageMs: number
}

/** Names the kinds of evidence whose memory is bounded. */
export enum EvidenceKind {
  /** A prompt that had just begun when its engine crashed. */
  Crash = 'crash',
  /** A part of a prompt that an engine has answered. */
  SoundPart = 'sound_part',
  /** Parts that occurred in the same crashes, left out of a search for those to blame. */
  PartGroup = 'part_group',
  /** An early end of a stream that waits for the confirmation of a crash. */
  EarlyEnd = 'early_end'
}

/** What a process tells others about crashes and prompts. */
export interface PromptEvidence {
  crashes: CrashObservation[]
  /** Ids of parts of prompts that an engine has recently answered without a crash. */
  sound: string[]
}

/** A quarantine that holds a prompt back. */
export interface QuarantineMatch {
  /** Ids of the parts that together are in quarantine; the prompt has all of them. */
  parts: readonly string[]
  /** Time in milliseconds until the quarantine ends, if no further crash extends it. */
  remainingMs: number
}

/** Configures a quarantine. */
export interface QuarantineOptions {
  /** Number of crashes at different times that puts the parts they share in quarantine; 3 by default. */
  minCrashes?: number
  /** The same number for the first part of a prompt alone, which often is shared by a whole service; 5 by default. */
  minFirstPartCrashes?: number
  /** Time in milliseconds since the last crash after which a quarantine ends; 10 minutes by default. */
  quarantineMs?: number
  /** The same time for a quarantine of the first part of a prompt alone; 1 minute by default. */
  firstPartQuarantineMs?: number
  /** Time in milliseconds for which a crash is remembered; one more crash within it renews an ended quarantine; 30 minutes by default. */
  memoryMs?: number
  /** Time in milliseconds for which a part that an engine has answered is not suspected; 5 seconds by default. */
  soundMs?: number
  /** Called with the number of pieces of evidence that a bound on memory has pushed out. */
  onDropped?: (kind: EvidenceKind, count: number) => void
}

/** Collects evidence on prompts that crash engines, and holds back those that are likely to crash the next one. */
export interface Quarantine {
  /** Records that an engine crashed just after a request with these shared parts had begun there; returns whether that is new. */
  recordCrash (crash: string, parts: readonly string[], nowMs: number): boolean
  /** Records that an engine answered a request with these shared parts without a crash. */
  recordSurvival (parts: readonly string[], nowMs: number): void
  /** Returns the quarantine that holds back a prompt with these shared parts; undefined when none does. */
  find (parts: readonly string[], nowMs: number): QuarantineMatch | undefined
  /** Returns all quarantines in force. */
  list (nowMs: number): QuarantineMatch[]
  /** Adds the evidence of another process; returns the part of it that was not known, undefined when all was. */
  merge (evidence: PromptEvidence, nowMs: number): PromptEvidence | undefined
  /** Returns what this process has recorded itself and not yet returned here; undefined when there is nothing. */
  takeNews (nowMs: number): PromptEvidence | undefined
  /** Returns all crashes that are remembered, for a process that may not know them; undefined when there are none. */
  snapshot (nowMs: number): PromptEvidence | undefined
}
