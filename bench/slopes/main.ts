/**
 * Measures how message sizes, processor time and memory grow with their inputs, and prints the fitted slopes.
 */
import { mkdirSync, writeFileSync } from 'node:fs'
import { cpus } from 'node:os'
import { performance } from 'node:perf_hooks'
import { fitLine, computeMedians } from './_fit.ts'
import type { Fit } from './_fit.ts'
import { listFleetSlopes } from './_fleet_slopes.ts'
import { listConnectionSlopes, listRequestSlopes } from './_request_slopes.ts'
import { createRig } from './_rig.ts'
import { listProcessSlopes } from './_process_slopes.ts'
import { listRelaySlopes } from './_relay_slopes.ts'
import { listStateSlopes } from './_state_slopes.ts'
import { listWireSlopes } from './_wire_slopes.ts'
import type { SlopeMeasurement } from './_wire_slopes.ts'

interface Row extends Fit {
  name: string
  per: string
  unit: string
}

function formatNumber (value: number): string {
  if (Math.abs(value) >= 1000) return value.toFixed(0)
  return Math.abs(value) >= 10 ? value.toFixed(1) : value.toFixed(3)
}

function formatRow (row: Row): string {
  const range = `${row.minX}..${row.maxX}`
  const slope = `${formatNumber(row.slope)} ± ${formatNumber(row.slopeError)}`
  const intercept = `${formatNumber(row.intercept)} ± ${formatNumber(row.interceptError)}`
  return `| ${row.name} | ${row.per} | ${slope} ${row.unit} | ${intercept} | ${range} | ${row.points} | ${row.r2.toFixed(4)} |`
}

async function main (): Promise<void> {
  const startMs = performance.now()
  const nameFilter = process.argv[2] ?? ''
  const rig = await createRig()
  const measurements: SlopeMeasurement[] = [
    ...listConnectionSlopes(), ...listWireSlopes(rig), ...listRequestSlopes(), ...listStateSlopes(),
    ...listProcessSlopes(), ...listRelaySlopes(), ...listFleetSlopes()
  ]
  const rows: Row[] = []
  console.log('| slope | per | slope ± standard error | intercept | x | medians | R² |')
  console.log('|---|---|---|---|---|---|---|')
  for (const measurement of measurements) {
    // The first measurement always runs, because the others use the connections that it opens.
    if (!measurement.name.includes(nameFilter) && measurement !== measurements[0]) continue
    const { name, per, unit } = measurement
    const row = { name, per, unit, ...fitLine(computeMedians(await measurement.run(rig))) }
    rows.push(row)
    console.log(formatRow(row))
  }
  await rig.close()
  const tookS = (performance.now() - startMs) / 1000
  const machine = { node: process.version, cpu: cpus()[0]?.model, cores: cpus().length }
  mkdirSync('out', { recursive: true })
  writeFileSync('out/slopes.json', JSON.stringify({ machine, tookS, rows }, null, 2))
  console.log(`${rows.length} slopes in ${tookS.toFixed(0)} s on ${machine.cpu}, ${machine.cores} cores, Node ${machine.node}`)
}

await main()
