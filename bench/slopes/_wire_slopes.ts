/**
 * Measures the encoded size of messages, and the processor time to send and receive them over sockets.
 */
import { createConfiguration } from '../../core/configuration/mod.ts'
import { createLeaseTable } from '../../core/lease/mod.ts'
import { createLimiter } from '../../core/limits/mod.ts'
import { createMembership } from '../../core/membership/mod.ts'
import { ChoicePolicy } from '../../core/records/mod.ts'
import { createRouter } from '../../core/routing/mod.ts'
import { Role } from '../../core/types/mod.ts'
import type { ConfigService } from '../../source/mod.ts'
import { createConfigRelay } from '../../relay/mod.ts'
import type { RelayMessage } from '../../relay/mod.ts'
import { createManualTimer } from '../../timer/mod.ts'
import { encodeFrame, MessageKind } from '../../wire/mod.ts'
import type { Connection, Message } from '../../wire/mod.ts'
import type { Point } from './_fit.ts'
import { measureCpuMicros } from './_rig.ts'
import type { Rig } from './_rig.ts'
import { buildSample } from './_samples.ts'
import type { SampleName } from './_samples.ts'

/** Describes how one slope is measured. */
export interface SlopeMeasurement {
  name: string
  /** The unit of x, for example `record`. */
  per: string
  /** The unit of y. */
  unit: string
  /** Measures the points, one or more for each x. */
  run: (rig: Rig) => Promise<Point[]>
}

type Handler = (connection: Connection, msg: Message) => void

const messageCounts = [500, 1000, 1500, 2000, 3000]
const rounds = 3
const place = { availabilityZone: 'zone-0', region: 'region-0' }

function createBytesMeasurement (name: SampleName, per: string, sizes: number[]): SlopeMeasurement {
  const run = async (): Promise<Point[]> => sizes.map((x) => ({ x, y: encodeFrame(buildSample(name, x, 123456)).length }))
  return { name: `bytes of ${name}`, per, unit: 'B', run }
}

/** Creates the measurement of the processor time to receive and handle samples; `scale` changes their numbers. */
function createReceiveMeasurement (label: string, name: SampleName, size: number, createHandler: () => Handler, scale = 1): SlopeMeasurement {
  async function run (rig: Rig): Promise<Point[]> {
    const points: Point[] = []
    for (let round = 0; round <= rounds; round++) {
      for (const x of messageCounts.map((count) => Math.round(count * scale))) {
        rig.setHandler(createHandler())
        rig.resetCount()
        const y = await measureCpuMicros(async () => {
          await Promise.all([rig.runCommand({ op: 'send', name, size, count: x }), rig.waitForMessages(x)])
        })
        // The first round is discarded, because the code is not compiled yet.
        if (round > 0) points.push({ x, y })
      }
    }
    return points
  }
  return { name: `cpu to receive ${label}`, per: 'message', unit: 'us', run }
}

/** Creates the measurement of the processor time to encode and send samples, each in a write of its own. */
function createSendMeasurement (label: string, name: SampleName, size: number): SlopeMeasurement {
  async function run (rig: Rig): Promise<Point[]> {
    const points: Point[] = []
    let n = 0
    for (let round = 0; round <= rounds; round++) {
      for (const x of messageCounts) {
        const y = await measureCpuMicros(async () => {
          for (let sent = 0; sent < x;) {
            for (const connection of rig.connections) {
              if (sent++ < x) connection.send(buildSample(name, size, n++))
            }
            await new Promise((resolve) => setImmediate(resolve))
          }
        })
        if (round > 0) points.push({ x, y })
      }
    }
    return points
  }
  return { name: `cpu to send ${label}`, per: 'message', unit: 'us', run }
}

function createHeartbeatHandler (): Handler {
  const leases = createLeaseTable({ leaseMs: 2000 })
  for (let i = 0; i < 100; i++) leases.open(`entry-${i}#1`, 0)
  let n = 0
  return (_connection, msg) => {
    if (msg.kind !== MessageKind.Heartbeat) return
    const live = new Set(msg.live.map(({ requestId, attempt }) => `${requestId}/${attempt}`))
    if (live.size >= 0) leases.renew(`entry-${n++ % 100}#1`, 1)
  }
}

function createLoadHandler (): Handler {
  const members = createMembership()
  const router = createRouter({ policy: { choice: ChoicePolicy.PowerOfTwo, affinitySeats: 2 }, place, random: () => 0.5 })
  for (let i = 0; i < 100; i++) {
    const name = `backend-${i}`
    members.recordConnection({ name, process: 'agent', address: '127.0.0.1:1', incarnation: 1, ...place }, 0)
    router.upsert({ name, role: Role.Decode, serves: 'resume-70b', version: '2026-11', weight: 1, ...place })
  }
  return (_connection, msg) => {
    if (msg.kind !== MessageKind.Load) return
    members.recordHeartbeat({ name: msg.backend, incarnation: 1, progress: msg.seq, hasPendingWork: true }, 1)
    members.recordDraining(msg.backend, 1, msg.draining, 1)
    router.onLoad(msg, 1)
  }
}

function createUsageHandler (): Handler {
  const getFixedLimits = (): { requestsPerS: number, tokensPerS: number, concurrency: number } =>
    ({ requestsPerS: 150, tokensPerS: 50_000, concurrency: 1500 })
  const limiter = createLimiter({ entry: 'entry-0', incarnation: 1, getLimits: getFixedLimits })
  return (_connection, msg) => {
    if (msg.kind === MessageKind.UsageShare) limiter.onUsageShare(msg, 1)
  }
}

/** A configuration service that never responds. */
const silentService: ConfigService = {
  readAll: () => new Promise(() => {}),
  watch: () => new Promise(() => {}),
  close: async () => {}
}

/** Creates a handler that relays digests and records with 2 links and 4 subscribers, like an inner node of the relay trees. */
function createRelayHandler (rig: Rig): Handler {
  const timer = createManualTimer()
  const config = createConfiguration()
  const members = Array.from({ length: 400 }, (_, i) => ({ name: `backend-${i}`, ...place }))
  const peerName = (i: number): string => `backend-${i % 100}`
  const connectionsByName = new Map(rig.connections.map((connection, i) => [peerName(i), connection]))
  const relay = createConfigRelay({
    timer,
    config,
    service: silentService,
    self: { name: 'backend-399', ...place },
    random: () => 0.5,
    send: (peer, msg) => { connectionsByName.get(peer)?.send(msg) }
  })
  relay.setMembers(members)
  config.apply({ revision: 1, complete: true, changes: [] })
  for (const name of connectionsByName.keys()) relay.addPeer(name)
  relay.handleMessage('backend-0', { kind: MessageKind.ConfigRecords, revision: 1, complete: true, changes: [] })
  for (let i = 0; i < 4; i++) relay.handleMessage(`backend-${i}`, { kind: MessageKind.ConfigDigest, revision: 1, wants: false })
  let n = 1
  return (_connection, msg) => {
    if (msg.kind === MessageKind.ConfigDigest) relay.handleMessage('backend-1', { ...msg, revision: 1 })
    if (msg.kind !== MessageKind.ConfigRecords) return
    const changes = msg.changes.map((change) => ({ ...change, revision: n + 1 }))
    relay.handleMessage('backend-50', { ...msg, after: n, revision: ++n, changes } as RelayMessage)
  }
}

/** Lists the slopes of message sizes and of sending and receiving messages. */
export function listWireSlopes (rig: Rig): SlopeMeasurement[] {
  return [
    createBytesMeasurement('heartbeat', 'live attempt', [0, 5, 10, 20, 40, 80, 160]),
    createBytesMeasurement('load', 'prefix', [0, 8, 16, 32, 64]),
    createBytesMeasurement('usage', 'caller', [0, 20, 65, 130, 260]),
    createBytesMeasurement('tokens', 'token', [1, 2, 4, 8, 16]),
    createBytesMeasurement('digest', 'nothing (constant)', [1, 2, 3]),
    createBytesMeasurement('records', 'nothing (constant)', [1, 2, 3]),
    createBytesMeasurement('reserve', 'nothing (constant)', [1, 2, 3]),
    createBytesMeasurement('report', 'nothing (constant)', [1, 2, 3]),
    createReceiveMeasurement('heartbeat, 0 live', 'heartbeat', 0, createHeartbeatHandler),
    createReceiveMeasurement('heartbeat, 40 live', 'heartbeat', 40, createHeartbeatHandler),
    createReceiveMeasurement('load, 0 prefixes', 'load', 0, createLoadHandler),
    createReceiveMeasurement('load, 64 prefixes', 'load', 64, createLoadHandler),
    createReceiveMeasurement('usage, 0 callers', 'usage', 0, createUsageHandler),
    createReceiveMeasurement('usage, 260 callers', 'usage', 260, createUsageHandler, 0.25),
    createReceiveMeasurement('digest and reply', 'digest', 0, () => createRelayHandler(rig)),
    createReceiveMeasurement('a change, apply and push to 4', 'records', 0, () => createRelayHandler(rig)),
    createSendMeasurement('heartbeat, 0 live', 'heartbeat', 0),
    createSendMeasurement('heartbeat, 40 live', 'heartbeat', 40),
    createSendMeasurement('load, 0 prefixes', 'load', 0),
    createSendMeasurement('load, 64 prefixes', 'load', 64),
    createSendMeasurement('usage, 260 callers', 'usage', 260),
    createSendMeasurement('digest', 'digest', 0)
  ]
}
