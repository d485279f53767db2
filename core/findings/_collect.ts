/**
 * Collects findings and differences.
 */
import { ChangeKind, FindingLevel } from './_types.ts'
import type { Difference, Finding } from './_types.ts'

/** Collects the findings of one check. */
export interface FindingList {
  readonly findings: Finding[]
  /** Adds a finding when `isFound` is true. */
  error (isFound: boolean, subject: string, text: string): void
  warn (isFound: boolean, subject: string, text: string): void
}

/** Creates an empty list. */
export function createFindingList (): FindingList {
  const findings: Finding[] = []
  const adder = (level: FindingLevel) => (isFound: boolean, subject: string, text: string): void => {
    if (isFound) findings.push({ level, subject, text })
  }
  return { findings, error: adder(FindingLevel.Error), warn: adder(FindingLevel.Warning) }
}

/** Describes how named parts are compared. */
export interface CompareOptions<T> {
  subject: (part: T) => string
  /** What follows for callers when a part is added or removed. */
  added: (part: T) => string
  removed: (part: T) => string
  /** What follows from each change of a part that stays. */
  changed: (before: T, after: T) => string[]
}

/** Compares the parts of two configurations by their names. */
export function compareNamed<T extends { name: string }> (before: readonly T[], after: readonly T[], options: CompareOptions<T>): Difference[] {
  const known = new Map(before.map((part) => [part.name, part]))
  const next = new Map(after.map((part) => [part.name, part]))
  const removed = before.filter(({ name }) => !next.has(name))
    .map((part) => ({ kind: ChangeKind.Removed, subject: options.subject(part), text: options.removed(part) }))
  const others = after.flatMap((part) => {
    const old = known.get(part.name)
    if (old === undefined) return [{ kind: ChangeKind.Added, subject: options.subject(part), text: options.added(part) }]
    return options.changed(old, part).map((text) => ({ kind: ChangeKind.Changed, subject: options.subject(part), text }))
  })
  return [...removed, ...others]
}

/** Returns a line for each field whose value differs, as in `timeout in ms: 800 becomes 700`. */
export function listChangedFields<T> (before: T, after: T, fields: { readonly [K in keyof T]?: string }): string[] {
  return (Object.entries(fields) as Array<[keyof T, string]>)
    .filter(([field]) => JSON.stringify(before[field]) !== JSON.stringify(after[field]))
    .map(([field, words]) => `${words}: ${formatValue(before[field])} becomes ${formatValue(after[field])}`)
}

function formatValue (value: unknown): string {
  return value === undefined ? 'none' : typeof value === 'object' ? JSON.stringify(value) : String(value)
}
