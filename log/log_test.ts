/**
 * Steps for log lines and the decision ring.
 */
import assert from 'node:assert/strict'
import { PassThrough } from 'node:stream'
import { Then, When } from '@cucumber/cucumber'
import { createDecisionRing, createLog, DecisionKind } from './mod.ts'
import type { DecisionRing } from './mod.ts'

interface World {
  lines: string[]
  ring: DecisionRing
}

When(
  'a log writes a routing decision that chose {string} over {string} for {string}',
  function (this: World, chosen: string, backend: string, reason: string) {
    const stream = new PassThrough()
    const log = createLog({ name: 'levis-1', level: 'info', stream })
    log.decision({
      kind: DecisionKind.Routing,
      request: 'r1',
      attempt: 1,
      caller: 'notaires',
      tier: 'payant',
      chosen,
      runnersUp: [{ backend, reason }],
      revision: 7,
      reason: 'fewest in flight'
    })
    this.lines = String(stream.read()).trimEnd().split('\n')
  }
)

Then(
  'the log has one line that names {string}, {string} and {string}',
  function (this: World, chosen: string, backend: string, reason: string) {
    assert.equal(this.lines.length, 1)
    const { decision } = JSON.parse(this.lines[0] ?? '')
    assert.equal(decision.chosen, chosen)
    assert.deepEqual(decision.runnersUp, [{ backend, reason }])
  }
)

When(
  'a decision ring of size {int} receives {int} decisions about requests "a" and "b" in turn',
  function (this: World, size: number, count: number) {
    this.ring = createDecisionRing({ size })
    for (let i = 1; i <= count; i++) {
      const request = i % 2 === 1 ? 'a' : 'b'
      this.ring.add({ kind: DecisionKind.Routing, request, attempt: i, runnersUp: [], revision: 1, reason: '' })
    }
  }
)

Then('the decision ring finds the attempts {string} of request "a"', function (this: World, attempts: string) {
  assert.equal(this.ring.find('a').map((decision) => decision.attempt).join(' '), attempts)
})
