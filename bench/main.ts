/**
 * Measures policies, overhead and faults on real processes with the stand-ins.
 */
import sade from 'sade'
import { compare } from './_compare.ts'

interface Flags {
  scenario: string
  loads: string
  rounds: number
  seconds: number
  warmup: number
  seed: number
  only: string
}

const msPerS = 1000

async function main (flags: Flags): Promise<void> {
  const only = flags.only.split(',').filter((name) => name !== '')
  await compare({
    scenario: flags.scenario,
    loads: String(flags.loads).split(',').map(Number),
    rounds: Number(flags.rounds),
    durationMs: Number(flags.seconds) * msPerS,
    warmupMs: Number(flags.warmup) * msPerS,
    seed: Number(flags.seed),
    only
  })
}

sade('bench', true)
  .option('--scenario', 'Scenario file in bench/scenarios: fleuve or velluto', 'fleuve')
  .option('--loads', 'Loads relative to saturation', '0.7,1,1.5')
  .option('--rounds', 'Number of rounds in which every policy takes its turn', 2)
  .option('--seconds', 'Time in seconds that counts in each run', 2)
  .option('--warmup', 'Time in seconds of load before it', 0.7)
  .option('--seed', 'Seed of the load', 1)
  .option('--only', 'Policies to compare, separated by commas; all by default', '')
  .action((flags: Flags) => {
    main(flags).then(() => process.exit(0), (err) => {
      console.error(err)
      process.exit(1)
    })
  })
  .parse(process.argv)
