/**
 * Measures the quarantine of prompts by the number of shared parts, and prints a row of times for each.
 */
import { createQuarantine, EvidenceKind } from '../../core/quarantine/mod.ts'
import { formatMarkdownTable } from '../_table.ts'
import type { Quarantine } from '../../core/quarantine/mod.ts'

const partCounts = [3, 17, 40, 100, 400]
const crashes = 300
const rounds = 2_000
/** Number of different conversations whose parts crash engines, and that are answered. */
const conversations = 40
const crashGapMs = 1_000

function nameParts (count: number, from: number): string[] {
  return Array.from({ length: count }, (_, i) => (0x10000000 + from + i).toString(16))
}

/** Returns the time in milliseconds of each call of `fn`. */
function measure (times: number, fn: (index: number) => void): number[] {
  return Array.from({ length: times }, (_, index) => {
    const startedMs = performance.now()
    fn(index)
    return performance.now() - startedMs
  })
}

function mean (values: readonly number[]): number { return values.reduce((sum, value) => sum + value, 0) / values.length }

function toMicroseconds (values: readonly number[]): string { return (1000 * mean(values)).toFixed(1) }

/** Records crashes of which a third have one conversation in common; no part of them has been answered. */
function recordCrashes (quarantine: Quarantine, prompts: readonly string[][]): number[] {
  return measure(crashes, (index) => {
    const prompt = prompts[index % 3 === 0 ? 0 : index % conversations] as string[]
    quarantine.recordCrash(`i-${index}`, [...prompt, 'bad'], index * crashGapMs)
  })
}

function measureParts (count: number): string[] {
  const prompts = Array.from({ length: conversations }, (_, i) => nameParts(count, i * 1000))
  const nowMs = crashes * crashGapMs
  const dropped = { [EvidenceKind.Crash]: 0 } as { [kind: string]: number }
  const quarantine = createQuarantine({ onDropped: (kind, number) => { dropped[kind] = (dropped[kind] ?? 0) + number } })
  const crashMs = recordCrashes(quarantine, prompts)
  const calm = createQuarantine()
  const findMs = measure(rounds, (index) => { quarantine.find(prompts[index % conversations] as string[], nowMs) })
  const calmMs = measure(rounds, (index) => { calm.find(prompts[index % conversations] as string[], nowMs) })
  const answerMs = measure(rounds, (index) => { calm.recordSurvival(prompts[index % conversations] as string[], index) })
  const snapshot = quarantine.snapshot(nowMs)
  const bytes = Buffer.byteLength(JSON.stringify(snapshot))
  return [
    String(count), mean(crashMs).toFixed(1), Math.max(...crashMs).toFixed(1), toMicroseconds(findMs), toMicroseconds(calmMs), toMicroseconds(answerMs),
    String(snapshot?.crashes.length ?? 0), String(dropped[EvidenceKind.Crash]), (bytes / 1000).toFixed(0)
  ]
}

const header = ['shared parts', 'crash ms', 'longest', 'request µs', 'without crashes', 'answer µs', 'crashes kept', 'dropped', 'snapshot kB, as JSON']
// The first pass compiles the code.
partCounts.forEach(measureParts)
console.log(formatMarkdownTable(header, partCounts.map(measureParts)))
