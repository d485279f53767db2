/**
 * Decoders of schema version 2, which groups fields and renames some of them.
 */
import { z } from 'zod'
import { RecordKind } from './_types.ts'
import type { SchemaTable } from './_schema_table.ts'
import * as shared from './_shared.ts'

const schema = z.literal(2)

const tier = z.strictObject({
  schema,
  class: shared.tierClass,
  models: z.record(shared.text, z.array(shared.text)),
  targets: z.strictObject({ firstTokenMs: shared.positive, betweenTokensMs: shared.positive })
}).transform((value) => ({
  tierClass: value.class,
  models: Object.entries(value.models).flatMap(([model, versions]) => versions.map((version) => ({ model, version }))),
  ...value.targets
}))

const caller = z.strictObject({
  schema,
  tier: shared.text,
  keyHash: shared.keyHash,
  limits: z.strictObject({ requestsPerS: shared.amount, tokensPerS: shared.amount, concurrency: shared.count })
}).transform((value) => ({ tier: value.tier, keyHash: value.keyHash, ...value.limits }))

const modelVersion = z.strictObject({
  adapter: shared.optionalText.default(''),
  weight: shared.amount,
  weightBytes: shared.amount
})

const model = z.strictObject({
  schema,
  versions: z.record(shared.text, modelVersion).refine((versions) => Object.keys(versions).length > 0, 'expected a version'),
  placement: z.strictObject({ replicasPerZone: shared.count, prefillShare: shared.share })
}).transform((value) => ({
  versions: Object.entries(value.versions).map(([version, fields]) => ({ version, ...fields })),
  ...value.placement
}))

const backend = z.strictObject({
  schema,
  address: shared.address,
  agent: shared.address,
  adapter: shared.text,
  start: z.strictObject({ role: shared.role, serves: shared.text, version: shared.optionalText.default('') }),
  place: z.strictObject({ availabilityZone: shared.text, region: shared.text }),
  fencing: z.boolean(),
  weight: shared.amount
}).transform(({ schema, start, place, ...fields }) => ({ ...fields, ...start, ...place }))

const service = z.strictObject({
  schema,
  rules: z.array(shared.callRule),
  timeoutMs: shared.positive
}).transform((value) => ({ calls: value.rules, timeoutMs: value.timeoutMs }))

const policy = z.strictObject({
  schema,
  policies: z.strictObject({
    reserve: shared.reserve,
    choice: shared.choice,
    admission: shared.admission,
    placement: shared.placement
  }),
  bounds: z.strictObject({ paidHeadroom: shared.share, retryBudget: shared.amount, affinitySeats: shared.amount })
}).transform((value) => ({ ...value.policies, ...value.bounds }))

/** Decoders of the fields of schema version 2, by kind of record. */
export const schemaV2: SchemaTable = {
  [RecordKind.Tier]: tier,
  [RecordKind.Caller]: caller,
  [RecordKind.Model]: model,
  [RecordKind.Backend]: backend,
  [RecordKind.Service]: service,
  [RecordKind.Policy]: policy
}
