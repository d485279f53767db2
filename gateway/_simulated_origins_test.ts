/**
 * Gateways and sidecars that remember what began streams, over simulated links, in simulated time.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { PassThrough } from 'node:stream'
import { createFleet, Stage, WorkerState } from '../core/fleet/mod.ts'
import { createLog } from '../log/mod.ts'
import { createOriginTask } from '../sidecar/_origin_task.ts'
import { createManualTimer } from '../timer/mod.ts'
import type { MessageKind, Connection, Message, MessageOf } from '../wire/mod.ts'
import { createStreamOrigins } from './_stream_origins.ts'
import type { Fleet } from '../core/fleet/mod.ts'
import type { Directory } from '../directory/mod.ts'
import type { OriginTask } from '../sidecar/_origin_task.ts'
import type { ManualTimer } from '../timer/mod.ts'
import type { FoundOrigin, StreamOrigins } from './_stream_origins.ts'

interface Sidecar { address: string, zone: string, task: OriginTask, life: number }

interface Gateway {
  fleet: Fleet
  origins: StreamOrigins
  /** Numbers of the connections to sidecars, with the life of the sidecar at the other end. */
  connections: Map<string, { number: number, life: number }>
}

/** A simulated site. */
export interface OriginSimulation {
  readonly timer: ManualTimer
  /** Returns a random integer from 0 up to but not including `below`. */
  pick (below: number): number
  /** Begins a stream at a random gateway. */
  begin (requestId: string, softwareVersion: string): void
  /** Takes a stream up at a random gateway, and lets time pass until it is known whether it may. */
  takeUp (requestId: string): Promise<FoundOrigin>
  /** Starts a sidecar on a new machine; the gateways know it after a while. */
  addSidecar (): void
  /** Has the engine of a sidecar drain, and ends both some seconds later. */
  retireSidecar (address: string): void
  /** Starts a share of the sidecars anew, all at once. */
  restartSidecars (share: number): void
  /** Starts all gateways anew. */
  restartGateways (): void
  sidecars (): string[]
  /** Messages from gateways to sidecars so far. */
  sent (): number
  close (): void
}

const delayMs = 2
/** Time in milliseconds until gateways have connected to a sidecar that has started. */
const connectMs = 600
/** Time in milliseconds for which a sidecar stays after its engine has said that it drains. */
const drainMs = 3_000
const zones = ['a1', 'a2', 'a3', 'b1', 'b2', 'b3']
const regions = Object.fromEntries(zones.map((zone) => [zone, zone.slice(0, 1)]))

/** Creates a site of gateways and sidecars in six zones of two regions. */
export function simulateOrigins (options: { gateways: number, sidecars: number, seed: number }): OriginSimulation {
  const timer = createManualTimer()
  const rng = xoroshiro128plus(options.seed)
  const log = createLog({ name: 'simulation', level: 'fatal', stream: new PassThrough().resume() })
  const sidecars = new Map<string, Sidecar>()
  let gateways: Gateway[] = []
  let nextSidecar = 0
  let nextLife = 0
  let nextConnection = 0
  let sent = 0

  function pick (below: number): number { return uniformInt(rng, 0, below - 1) }

  function writeEntry (fleet: Fleet, { address, zone }: Sidecar, state: WorkerState): void {
    fleet.upsert({ id: address, service: 'llm', address, zone, slots: 6, state, stage: Stage.Decode, bornMs: 1, softwareVersion: 'v1' }, timer.now())
  }

  function connect (gateway: Gateway, sidecar: Sidecar): void {
    gateway.connections.set(sidecar.address, { number: ++nextConnection, life: sidecar.life })
  }

  function createGateway (): Gateway {
    const fleet = createFleet()
    const receivers = new Map<MessageKind, (address: string, msg: Message) => void>()
    const gateway: Gateway = { fleet, connections: new Map(), origins: undefined as unknown as StreamOrigins }

    /** Delivers a message unless the sidecar has ended or started anew meanwhile, and its answer likewise. */
    function deliver (address: string, msg: Message): void {
      const link = gateway.connections.get(address)
      const answer = { send: (reply: Message) => timer.after(delayMs, () => receivers.get(reply.kind)?.(address, reply)) } as unknown as Connection
      timer.after(delayMs, () => {
        const sidecar = sidecars.get(address)
        if (sidecar === undefined || sidecar.life !== link?.life) return
        const handle = sidecar.task.handlers[msg.kind] as ((connection: Connection, msg: Message) => void) | undefined
        handle?.(answer, msg)
      })
    }

    gateway.origins = createStreamOrigins({
      directory: { fleet } as unknown as Directory,
      sidecars: {
        addressOf: (worker) => worker.entry.address,
        connectionNumber: (address) => gateway.connections.get(address)?.number,
        sendToPoint (address, msg) {
          if (!gateway.connections.has(address)) return false
          sent++
          deliver(address, msg)
          return true
        },
        receive: <K extends MessageKind> (kind: K, fn: (address: string, msg: MessageOf<K>) => void) => {
          receivers.set(kind, fn as (address: string, msg: Message) => void)
        }
      },
      regions,
      timer,
      log
    })
    for (const sidecar of sidecars.values()) {
      writeEntry(fleet, sidecar, WorkerState.Ready)
      connect(gateway, sidecar)
    }
    return gateway
  }

  function addSidecar (): void {
    const zone = zones[nextSidecar % zones.length] as string
    const sidecar = { address: `10.0.${Math.floor(nextSidecar / 250)}.${nextSidecar % 250}:7600`, zone, task: createOriginTask(timer), life: ++nextLife }
    nextSidecar++
    sidecars.set(sidecar.address, sidecar)
    timer.after(connectMs, () => {
      for (const gateway of gateways) {
        writeEntry(gateway.fleet, sidecar, WorkerState.Ready)
        connect(gateway, sidecar)
      }
    })
  }

  for (let i = 0; i < options.sidecars; i++) addSidecar()
  gateways = Array.from({ length: options.gateways }, createGateway)
  timer.advance(connectMs)

  return {
    timer,
    pick,
    begin (requestId, softwareVersion) { gateways[pick(gateways.length)]?.origins.record({ requestId, service: 'llm', softwareVersion }) },
    async takeUp (requestId) {
      let found: FoundOrigin | undefined
      gateways[pick(gateways.length)]?.origins.find(requestId).then((result) => { found = result })
      for (let waitedMs = 0; waitedMs < 2_000; waitedMs += 10) {
        if (found !== undefined) break
        timer.advance(10)
        await Promise.resolve()
        await Promise.resolve()
      }
      return found ?? { isFinal: false }
    },
    addSidecar,
    retireSidecar (address) {
      const sidecar = sidecars.get(address)
      if (sidecar === undefined) return
      for (const { fleet } of gateways) writeEntry(fleet, sidecar, WorkerState.Draining)
      timer.after(drainMs, () => {
        sidecars.delete(address)
        for (const { fleet, connections } of gateways) {
          fleet.remove(address, timer.now())
          connections.delete(address)
        }
      })
    },
    restartSidecars (share) {
      for (const sidecar of sidecars.values()) {
        if (pick(1000) >= share * 1000) continue
        Object.assign(sidecar, { task: createOriginTask(timer), life: ++nextLife })
        for (const gateway of gateways) gateway.connections.delete(sidecar.address)
        timer.after(connectMs, () => { for (const gateway of gateways) connect(gateway, sidecar) })
      }
    },
    restartGateways () {
      for (const { origins } of gateways) origins.close()
      gateways = Array.from({ length: options.gateways }, createGateway)
    },
    sidecars: () => [...sidecars.keys()],
    sent: () => sent,
    close () { for (const { origins } of gateways) origins.close() }
  }
}
