/**
 * Quarantine of prompts that crash engines: finds the parts that crashed requests share, from observations of several processes.
 */
export { createQuarantine } from './create_quarantine.ts'
export { EvidenceKind } from './_types.ts'
export type { CrashObservation, PromptEvidence, Quarantine, QuarantineMatch, QuarantineOptions } from './_types.ts'
