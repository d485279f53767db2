/**
 * Steps for the decoder for configuration records.
 */
import assert from 'node:assert/strict'
import { Then } from '@cucumber/cucumber'
import fc from 'fast-check'
import { decodeRecord } from './mod.ts'

const hash = 'ab'.repeat(32)
const place = { availabilityZone: 'levis', region: 'qc-est' }
const ends = { address: '127.0.0.1:9000', agent: '127.0.0.1:7000', adapter: 'engine_http' }
const rule = { method: 'GET', path: '/suivi', idempotent: true }

const samples: Record<string, [v1: object, v2: object]> = {
  tier: [
    { tierClass: 'paid', models: [{ model: 'm', version: '*' }], firstTokenMs: 1200, betweenTokensMs: 30 },
    { class: 'paid', models: { m: ['*'] }, targets: { firstTokenMs: 1200, betweenTokensMs: 30 } }
  ],
  caller: [
    { tier: 't', keyHash: hash, requestsPerS: 5, tokensPerS: 100, concurrency: 3 },
    { tier: 't', keyHash: hash, limits: { requestsPerS: 5, tokensPerS: 100, concurrency: 3 } }
  ],
  model: [
    { versions: [{ version: 'a', adapter: '', weight: 1, weightBytes: 9 }], replicasPerZone: 2, prefillShare: 0.4 },
    { versions: { a: { weight: 1, weightBytes: 9 } }, placement: { replicasPerZone: 2, prefillShare: 0.4 } }
  ],
  backend: [
    { ...ends, ...place, role: 'decode', serves: 'm', version: 'a', fencing: true, weight: 1 },
    { ...ends, place, start: { role: 'decode', serves: 'm', version: 'a' }, fencing: true, weight: 1 }
  ],
  service: [{ calls: [rule], timeoutMs: 5000 }, { rules: [rule], timeoutMs: 5000 }],
  policy: [
    {
      reserve: 'predicted',
      choice: 'power_of_two',
      admission: 'tiered',
      placement: 'balanced',
      paidHeadroom: 0.1,
      retryBudget: 0.1,
      affinitySeats: 2
    },
    {
      policies: { reserve: 'predicted', choice: 'power_of_two', admission: 'tiered', placement: 'balanced' },
      bounds: { paidHeadroom: 0.1, retryBudget: 0.1, affinitySeats: 2 }
    }
  ]
}

Then('the record {string} decodes to the same internal form from schema 1 and schema 2', (kind: string) => {
  const [v1, v2] = samples[kind] ?? [{}, {}]
  const first = decodeRecord(`${kind}/x`, JSON.stringify({ schema: 1, ...v1 })).unwrap()
  const second = decodeRecord(`${kind}/x`, JSON.stringify({ schema: 2, ...v2 })).unwrap()
  assert.deepEqual(first, { kind, name: 'x', ...v1 })
  assert.deepEqual(second, first)
})

Then('the record {string} with the value {string} is refused as {string} at {string} expecting {string}',
  (key: string, value: string, kind: string, path: string, expected: string) => {
    const result = decodeRecord(key, value)
    assert.ok(result.err)
    assert.equal(result.val.kind, kind)
    assert.equal(result.val.path, path)
    assert.ok(result.val.expected.includes(expected), result.val.message)
    assert.ok(result.val.message.includes(key))
  })

Then('a record of {int} bytes is refused as {string} and one of {int} bytes is not',
  (tooLong: number, kind: string, longest: number) => {
    const value = (bytes: number): string => '{"schema":1,"calls":[],"timeoutMs":5}'.padEnd(bytes, ' ')
    const result = decodeRecord('service/s', value(tooLong))
    assert.ok(result.err)
    assert.equal(result.val.kind, kind)
    assert.ok(decodeRecord('service/s', value(longest)).ok)
  })

Then('the record decoder answers with a value for any text', () => {
  const kinds = fc.constantFrom(...Object.keys(samples))
  const value = fc.oneof(fc.string(), fc.json(), fc.dictionary(fc.string(), fc.jsonValue()).map((fields) =>
    JSON.stringify({ schema: 1, ...fields })))
  fc.assert(fc.property(kinds, value, (kind, json) => decodeRecord(`${kind}/x`, json).ok !== undefined),
    { seed: 11, numRuns: 300 })
})
