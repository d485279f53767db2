/**
 * Steps that run random schedules of work and faults on the core objects.
 */
import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { runSchedule, StepKind } from './_run_schedule.ts'
import type { ScheduleCounts } from './_run_schedule.ts'

const scheduleTimeoutMs = 60_000

interface World {
  reached: ScheduleCounts
}

const work = [StepKind.Request, StepKind.Request, StepKind.Ticket, StepKind.Call]

const step = fc.record({
  kind: fc.oneof(fc.constantFrom(...work), fc.constantFrom(...Object.values(StepKind))),
  waitMs: fc.integer({ min: 0, max: 60 }),
  pick: fc.nat({ max: 15 }),
  ms: fc.integer({ min: 50, max: 700 })
})

const schedule = fc.record({ seed: fc.nat(), steps: fc.array(step, { minLength: 4, maxLength: 14, size: 'max' }) })

When('{int} conformance schedules of seed {int} run', { timeout: scheduleTimeoutMs },
  function (this: World, numRuns: number, seed: number) {
    this.reached = { complete: 0, refused: 0, runs: 0 }
    fc.assert(fc.property(schedule, (item) => {
      const counts = runSchedule(item)
      this.reached.complete += counts.complete
      this.reached.refused += counts.refused
      this.reached.runs += counts.runs
    }), { seed, numRuns })
  })

Then('the conformance schedules reached complete answers, refusals and ticket runs', function (this: World) {
  for (const [what, count] of Object.entries(this.reached)) assert.ok(count > 0, `no schedule counted ${what}`)
})
