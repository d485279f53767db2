/**
 * Measures how soon the entries detect a frozen or killed backend server, with and without reports between entries.
 */
import { mkdirSync, writeFileSync } from 'node:fs'
import { cpus, loadavg } from 'node:os'
import { computeSpread } from './_figures.ts'
import { Arm, startArm } from './_rig.ts'
import { Fault, runFault } from './_run.ts'
import type { Deployment } from '../../testing/deployment/mod.ts'
import type { RunFigures } from './_run.ts'
import type { Spread } from './_figures.ts'

interface Row {
  fault: Fault
  arm: Arm
  runs: RunFigures[]
}

const defaultRuns = 5

function formatSpread ({ median, min, max }: Spread): string {
  return `${median} (${min}-${max})`
}

function formatRow ({ fault, arm, runs }: Row): string {
  const columns = [
    computeSpread(runs.map((run) => Math.min(...run.lastDecisionsMs))),
    computeSpread(runs.map((run) => Math.max(...run.lastDecisionsMs))),
    computeSpread(runs.map((run) => run.reroutedMs)),
    computeSpread(runs.map((run) => run.recoveryMs)),
    computeSpread(runs.map((run) => run.notGood)),
    computeSpread(runs.map((run) => run.notWhole))
  ]
  return `| ${[fault, arm, runs.length, ...columns.map(formatSpread)].join(' | ')} |`
}

function formatTable (rows: Row[]): string {
  const headings = ['fault', 'entries', 'runs', 'first entry stops (ms)', 'last entry stops (ms)', 'rerouted (ms)',
    'goodput back (ms)', 'not good', 'not whole']
  return [`| ${headings.join(' | ')} |`, `|${'---|'.repeat(headings.length)}`, ...rows.map(formatRow)].join('\n')
}

/** Runs each fault `runs` times, alternating between the arms, and adds the figures to the rows. */
async function runFaults (arms: Map<Arm, Deployment>, rows: Row[], runs: number): Promise<void> {
  for (const row of rows.filter(({ arm }) => arm === Arm.PeerReports)) {
    const armRows = rows.filter(({ fault }) => fault === row.fault)
    for (let i = 0; i < runs; i++) {
      for (const { arm, fault, runs: figures } of armRows) {
        const deployment = arms.get(arm)
        if (deployment === undefined) throw new Error(`arm "${arm}" was not started`)
        figures.push(await runFault(deployment, fault, `${fault} ${i}`))
        console.log(fault, arm, JSON.stringify(figures.at(-1)))
      }
    }
  }
}

const runs = Number(process.argv[2] ?? defaultRuns)
const faults = Object.values(Fault).filter((fault) => process.argv[3] === undefined || fault === process.argv[3])
const rows: Row[] = faults.flatMap((fault) => Object.values(Arm).map((arm) => ({ fault, arm, runs: [] })))
const arms = new Map<Arm, Deployment>()
try {
  for (const arm of Object.values(Arm)) arms.set(arm, await startArm(arm))
  await runFaults(arms, rows, runs)
} finally {
  for (const deployment of arms.values()) await deployment.stop()
}
const machine = { cpus: cpus().length, loadAverage: loadavg() }
console.log(`${formatTable(rows)}\n${JSON.stringify(machine)}`)
mkdirSync('out', { recursive: true })
writeFileSync('out/detection.json', JSON.stringify({ machine, rows }, null, 2))
