/**
 * Measures what requests and connections cost an entry, over sockets.
 */
import { createRequest, RequestEffectKind, RequestEventKind } from '../../core/request/mod.ts'
import type { AgentReply, RequestEffect, RequestMachine } from '../../core/request/mod.ts'
import { ReservePolicy } from '../../core/records/mod.ts'
import { Ok } from '../../core/results/mod.ts'
import { Role, TierClass } from '../../core/types/mod.ts'
import type { Message } from '../../wire/mod.ts'
import type { Point } from './_fit.ts'
import { measureRetainedBytes, measureCpuMicros, measureLiveBytes } from './_rig.ts'
import type { Rig } from './_rig.ts'
import type { SlopeMeasurement } from './_wire_slopes.ts'

const rounds = 3
const prompt = 'word '.repeat(400)

/** Creates the state machine of the n-th request; its ports choose agents by n, named by their index in `Rig.connections`. */
function createMachine (n: number): RequestMachine {
  const getBackend = (role: Role): string => role === Role.Decode ? `${n % 40}` : `${40 + n % 40}`
  const spec = {
    requestId: `entry-123-kz8f1q-${100000 + n}`,
    caller: 'caller-17',
    tierClass: TierClass.Paid,
    model: 'resume-70b',
    version: '2026-11',
    prompt,
    promptTokens: 400,
    maxTokens: 400
  }
  const ports = {
    chooseBackend: (role: Role) => Ok({ backend: getBackend(role), runnersUp: [] }),
    consumeRetry: () => true,
    estimatePrefillMs: () => 10,
    estimateHandoffMs: () => 10,
    recordHandoffMs: () => {},
    estimateReservationWaitMs: () => 0
  }
  return createRequest(spec, ports, { policy: ReservePolicy.ReserveFirst, firstTokenMs: 1200 })
}

/** Runs requests against the source process, which replies as their agents, and returns the processor time in microseconds. */
async function runRequests (rig: Rig, requests: number): Promise<number> {
  const machines = new Map<string, RequestMachine>()
  let finishedCount = 0
  let onAllFinished = (): void => {}

  function performEffects (effects: RequestEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === RequestEffectKind.Send) rig.connections[Number(effect.agent)]?.send(effect.msg)
      if (effect.kind === RequestEffectKind.Finish && ++finishedCount === requests) onAllFinished()
    }
  }

  rig.setHandler((connection, msg: Message) => {
    if (!('requestId' in msg)) return
    const agent = String(rig.connections.indexOf(connection))
    const machine = machines.get(msg.requestId)
    if (machine !== undefined) performEffects(machine.handleEvent({ kind: RequestEventKind.Reply, agent, msg: msg as AgentReply }, 1))
  })
  return measureCpuMicros(() => new Promise((resolve) => {
    onAllFinished = resolve
    for (let n = 0; n < requests; n++) {
      const machine = createMachine(n)
      machines.set(`entry-123-kz8f1q-${100000 + n}`, machine)
      performEffects(machine.handleEvent({ kind: RequestEventKind.Start }, 0))
    }
  }))
}

function createRequestMeasurement (tokens: number, batch: number): SlopeMeasurement {
  async function run (rig: Rig): Promise<Point[]> {
    const points: Point[] = []
    await rig.runCommand({ op: 'play', tokens, batch })
    for (let round = 0; round <= rounds; round++) {
      for (const x of [50, 100, 200, 300, 400]) {
        const y = await runRequests(rig, x)
        if (round > 0) points.push({ x, y })
      }
    }
    return points
  }
  return { name: `cpu of a request, ${tokens} tokens in batches of ${batch}`, per: 'request', unit: 'us', run }
}

function startMachines (count: number): RequestMachine[] {
  const machines = Array.from({ length: count }, (_, n) => createMachine(n))
  for (const machine of machines) machine.handleEvent({ kind: RequestEventKind.Start }, 0)
  return machines
}

const tokenMessageCpu: SlopeMeasurement = {
  name: 'cpu of a token message of a request',
  per: 'token message',
  unit: 'us',
  async run (rig) {
    const points: Point[] = []
    for (let round = 0; round <= rounds; round++) {
      for (const x of [5, 10, 20, 40, 60]) {
        await rig.runCommand({ op: 'play', tokens: x, batch: 1 })
        const y = await runRequests(rig, 200) / 200
        if (round > 0) points.push({ x, y })
      }
    }
    return points
  }
}

const inFlightMemory: SlopeMeasurement = {
  name: 'memory of a request in flight at the entry',
  per: 'request',
  unit: 'B',
  async run () {
    const points: Point[] = []
    for (let round = 0; round <= rounds; round++) {
      for (const x of [500, 1000, 2000, 4000]) {
        const y = await measureRetainedBytes(() => startMachines(x))
        if (round > 0) points.push({ x, y })
      }
    }
    return points
  }
}

const connectionMemory: SlopeMeasurement = {
  name: 'memory of a connection',
  per: 'connection',
  unit: 'B',
  async run (rig) {
    const points: Point[] = []
    const before = await measureLiveBytes()
    for (let total = 0; total < 500; total += 100) {
      await rig.runCommand({ op: 'connect', address: '', count: 100 })
      points.push({ x: total + 100, y: await measureLiveBytes() - before })
    }
    return points
  }
}

/** Lists the slopes of connections; they run first, because the other slopes use the connections that they open. */
export function listConnectionSlopes (): SlopeMeasurement[] {
  return [connectionMemory]
}

/** Lists the slopes of requests at an entry. */
export function listRequestSlopes (): SlopeMeasurement[] {
  return [createRequestMeasurement(10, 1), tokenMessageCpu, inFlightMemory]
}
