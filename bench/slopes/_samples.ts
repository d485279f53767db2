/**
 * Builds messages and records of the sizes that a deployment has.
 */
import { Role, TierClass } from '../../core/types/mod.ts'
import type { ConfigChange } from '../../source/mod.ts'
import { MessageKind } from '../../wire/mod.ts'
import type { Message, MessageOf } from '../../wire/mod.ts'

function buildAttemptRefs (count: number): Array<{ requestId: string, attempt: number }> {
  return Array.from({ length: count }, (_, i) => ({ requestId: `entry-123-kz8f1q-${100000 + i}`, attempt: 1 }))
}

/** Builders of one message each; `size` is the number of items in the message, and `n` makes it differ from others. */
export const sampleBuilders = {
  heartbeat: (size: number, n: number): MessageOf<MessageKind.Heartbeat> =>
    ({ kind: MessageKind.Heartbeat, progress: 1e6 + n, live: buildAttemptRefs(size), revision: 8_000_000 }),
  load: (size: number, n: number): MessageOf<MessageKind.Load> => ({
    kind: MessageKind.Load,
    backend: `backend-${n % 100}`,
    role: Role.Decode,
    model: 'resume-70b',
    version: '2026-11',
    seats: 160,
    seatsUsed: 131,
    pieces: 32000,
    piecesUsed: 29731,
    queuedTokens: 12345,
    waitMs: 42,
    draining: false,
    seq: n,
    tokensPerPiece: 16,
    prefixes: Array.from({ length: size }, (_, i) => (0x1234567 * (i + 1) % 0xffffffff).toString(36)),
    stalledMs: 0
  }),
  digest: (_size: number, n: number): MessageOf<MessageKind.ConfigDigest> =>
    ({ kind: MessageKind.ConfigDigest, revision: 8_000_000, wants: false, ageMs: 1234 + n % 7 }),
  records: (_size: number, n: number): MessageOf<MessageKind.ConfigRecords> => ({
    kind: MessageKind.ConfigRecords, revision: n + 1, after: n, complete: false, changes: [buildBackendChange(n % 1000, n + 1)]
  }),
  usage: (size: number, n: number): MessageOf<MessageKind.UsageShare> => ({
    kind: MessageKind.UsageShare,
    entry: `entry-${n % 8}`,
    incarnation: 1_790_000_000_000,
    seq: n,
    usage: Array.from({ length: size }, (_, i) => ({ caller: `caller-${i}`, requests: 1.25, tokens: 812.5, concurrency: 11, waiting: 0 }))
  }),
  tokens: (size: number, n: number): MessageOf<MessageKind.Tokens> => ({
    kind: MessageKind.Tokens,
    requestId: `entry-123-kz8f1q-${100000 + n}`,
    attempt: 1,
    offset: 0,
    tokens: Array.from({ length: size }, (_, i) => ` word${i % 10}`)
  }),
  report: (): MessageOf<MessageKind.PeerReport> =>
    ({ kind: MessageKind.PeerReport, name: 'backend-1234', incarnation: 1_790_000_000_000, state: 'suspect' }),
  reserve: (_size: number, n: number): MessageOf<MessageKind.Reserve> => ({
    kind: MessageKind.Reserve,
    requestId: `entry-123-kz8f1q-${100000 + n}`,
    attempt: 1,
    pieces: 0,
    tokens: 2000,
    tierClass: TierClass.Paid,
    caller: 'caller-17',
    model: 'resume-70b',
    version: '2026-11',
    waitMs: 500
  })
} satisfies Record<string, (size: number, n: number) => Message>

/** Names of the sample messages. */
export type SampleName = keyof typeof sampleBuilders

/** Builds one sample message; see `sampleBuilders` for the parameters. */
export function buildSample (name: SampleName, size: number, n: number): Message {
  return sampleBuilders[name](size, n)
}

/** Builds the change that writes the record of a backend server. */
export function buildBackendChange (index: number, revision: number): ConfigChange {
  const value = {
    schema: 1,
    address: '10.20.30.40:8000',
    agent: '10.20.30.40:7000',
    adapter: 'engine_http',
    role: index % 5 < 2 ? 'prefill' : 'decode',
    serves: `model-${index % 9}`,
    version: '2026-11',
    fencing: true,
    weight: 1,
    availabilityZone: `zone-${index % 13}`,
    region: `region-${index % 5}`
  }
  return { key: `backend/backend-${index}`, revision, value: JSON.stringify(value) }
}

/** Builds the change that writes the record of a caller. */
export function buildCallerChange (index: number, revision: number): ConfigChange {
  const value = { schema: 1, tier: 'payant', keyHash: 'ab'.repeat(32), requestsPerS: 150, tokensPerS: 50000, concurrency: 1500 }
  return { key: `caller/caller-${index}`, revision, value: JSON.stringify(value) }
}

/** Builds the response body of the platform's host list with `count` hosts. */
export function buildHostListBody (count: number): string {
  const hosts = Array.from({ length: count }, (_, i) => ({
    name: `host-${i}`,
    kind: i % 11 === 0 ? 'entry' : 'agent',
    address: `10.20.${i >> 8}.${i & 255}:7000`,
    availability_zone: `zone-${i % 13}`,
    region: `region-${i % 13 % 5}`,
    state: 'live'
  }))
  return JSON.stringify({ hosts })
}
