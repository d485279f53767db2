/**
 * Decoders of schema version 1, which has the same fields as the internal form.
 */
import { z } from 'zod'
import { RecordKind } from './_types.ts'
import type { SchemaTable } from './_schema_table.ts'
import * as shared from './_shared.ts'

const schema = z.literal(1)

const tier = z.strictObject({
  schema,
  tierClass: shared.tierClass,
  models: z.array(z.strictObject({ model: shared.text, version: shared.text })),
  firstTokenMs: shared.positive,
  betweenTokensMs: shared.positive
})

const caller = z.strictObject({
  schema,
  tier: shared.text,
  keyHash: shared.keyHash,
  requestsPerS: shared.amount,
  tokensPerS: shared.amount,
  concurrency: shared.count
})

const modelVersion = z.strictObject({
  version: shared.text,
  adapter: shared.optionalText,
  weight: shared.amount,
  weightBytes: shared.amount
})

const model = z.strictObject({
  schema,
  versions: z.array(modelVersion).min(1),
  replicasPerZone: shared.count,
  prefillShare: shared.share
})

const backend = z.strictObject({
  schema,
  address: shared.address,
  agent: shared.address,
  adapter: shared.text,
  role: shared.role,
  serves: shared.text,
  version: shared.optionalText,
  fencing: z.boolean(),
  weight: shared.amount,
  availabilityZone: shared.text,
  region: shared.text
})

const service = z.strictObject({ schema, calls: z.array(shared.callRule), timeoutMs: shared.positive })

const policy = z.strictObject({
  schema,
  reserve: shared.reserve,
  choice: shared.choice,
  admission: shared.admission,
  placement: shared.placement,
  paidHeadroom: shared.share,
  retryBudget: shared.amount,
  affinitySeats: shared.amount
})

/** Decoders of the fields of schema version 1, by kind of record. */
export const schemaV1: SchemaTable = {
  [RecordKind.Tier]: tier.transform(({ schema, ...fields }) => fields),
  [RecordKind.Caller]: caller.transform(({ schema, ...fields }) => fields),
  [RecordKind.Model]: model.transform(({ schema, ...fields }) => fields),
  [RecordKind.Backend]: backend.transform(({ schema, ...fields }) => fields),
  [RecordKind.Service]: service.transform(({ schema, ...fields }) => fields),
  [RecordKind.Policy]: policy.transform(({ schema, ...fields }) => fields)
}
