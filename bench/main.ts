/**
 * Measures policies and overhead on real processes with engine stand-ins.
 */
import sade from 'sade'
import { comparePolicies } from './_compare_policies.ts'
import { measureOverhead } from './_overhead.ts'
import { comparePlacements } from './_placement.ts'
import { compareTiers } from './_tiers.ts'

interface Flags {
  scenario: string
  loads: string
  rounds: number
  seconds: number
  warmup: number
  seed: number
  only: string
  overhead: boolean
  tiers: boolean
  placement: boolean
}

const msPerS = 1000
const overheadRequestCount = 120

async function main (flags: Flags): Promise<void> {
  const durationMs = Number(flags.seconds) * msPerS
  const warmupMs = Number(flags.warmup) * msPerS
  const rounds = Number(flags.rounds)
  const seed = Number(flags.seed)
  if (flags.placement) return comparePlacements()
  if (flags.overhead) return await measureOverhead(flags.scenario, overheadRequestCount, seed)
  if (flags.tiers) return await compareTiers(flags.scenario, rounds, durationMs, warmupMs, seed)
  const only = flags.only.split(',').filter((name) => name !== '')
  await comparePolicies({
    scenario: flags.scenario,
    loads: String(flags.loads).split(',').map(Number),
    rounds,
    durationMs,
    warmupMs,
    seed,
    only
  })
}

sade('bench', true)
  .option('--scenario', 'Scenario file in bench/scenarios: fleuve or velluto', 'fleuve')
  .option('--loads', 'Loads as multiples of the saturation rate, separated by commas', '0.7,1,1.5')
  .option('--rounds', 'Number of rounds; every policy runs once at every load in each round', 2)
  .option('--seconds', 'Measured time of each run in seconds', 2)
  .option('--warmup', 'Time of load before the measured time in seconds', 0.7)
  .option('--seed', 'Seed of the load', 1)
  .option('--only', 'Policies to compare, separated by commas; all by default', '')
  .option('--overhead', 'Measures how much entry and agents delay the first token', false)
  .option('--tiers', 'Compares paid goodput with and without free load', false)
  .option('--placement', 'Compares placements of requests of plain services in a simulation, and measures the time of a decision', false)
  .action((flags: Flags) => {
    main(flags).then(() => process.exit(0), (err) => {
      console.error(err)
      process.exit(1)
    })
  })
  .parse(process.argv)
