/**
 * Gateways and exchange points of one allowance over simulated links, in simulated time.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { encodeFrame } from '../../wire/mod.ts'
import { AllowanceRefusal, createAllowancePoint, createAllowanceSpender } from './mod.ts'
import type { AllowanceLimit, AllowancePoint, AllowanceSpender, AllowanceTolerance } from './mod.ts'

/** Configures a simulation. */
export interface SimulationOptions {
  gateways: number
  points: number
  limit: AllowanceLimit
  tolerance: AllowanceTolerance
  /** One-way delay of messages in milliseconds. */
  delayMs: number
  seed: number
}

interface Host {
  isFrozen: boolean
  isCut: boolean
  isMute: boolean
  /** Hosts of different sides don't reach each other. */
  side: number
  delayMs: number
  held: Array<() => void>
}
interface Gateway extends Host { spender: AllowanceSpender, weight: number, connections: Map<string, number>, generation: number, isGone: boolean }
interface Point extends Host { name: string, point: AllowancePoint, connectionEpoch: number, isDead: boolean }

/** A request that has run. */
interface Run { atMs: number, cost: number, gateway: Gateway }

const organisation = 'notaires'
const stepMs = 10
const reportCheckMs = 100

/** Creates gateways that have just been started, and their points. */
export function createSimulation (options: SimulationOptions) {
  const generator = xoroshiro128plus(options.seed)
  const random = (): number => uniformFloat64(generator)
  const { tolerance } = options
  let limit = options.limit
  let nowMs = 0
  let messages = 0
  let bytes = 0
  let starts = 0
  const queue = new Map<number, Array<() => void>>()
  const runs: Run[] = []
  const refusals = { count: 0, cost: 0, byReason: new Map<string, number>() }

  function createHost (): Host { return { isFrozen: false, isCut: false, isMute: false, side: 0, delayMs: options.delayMs, held: [] } }

  function createSpender (): AllowanceSpender {
    const spender = createAllowanceSpender({ sender: `g/${++starts}`, tolerance, random, startMs: nowMs })
    spender.setPoints(points.map(({ name }) => name))
    return spender
  }

  function createPoint (): AllowancePoint { return createAllowancePoint({ tolerance, getLimit: () => limit }) }

  const points: Point[] = Array.from({ length: options.points }, (_, i) => {
    return { ...createHost(), name: `p${i}`, point: createPoint(), connectionEpoch: 1, isDead: false }
  })
  const gateways: Gateway[] = []
  function addGateway (weight = 1): Gateway {
    const gateway = { ...createHost(), spender: createSpender(), weight, connections: new Map<string, number>(), generation: 1, isGone: false }
    gateways.push(gateway)
    return gateway
  }
  for (let i = 0; i < options.gateways; i++) addGateway()

  function at (ms: number, fn: () => void): void {
    const key = Math.max(nowMs + stepMs, Math.ceil(ms / stepMs) * stepMs)
    const list = queue.get(key)
    if (list === undefined) queue.set(key, [fn])
    else list.push(fn)
  }

  /** Delivers a message; what arrives at a frozen host waits until it runs again, and a cut or mute link loses it. */
  function deliver (from: Host, to: Host, fn: () => void): void {
    messages++
    if (from.isMute || from.isCut || to.isCut || from.side !== to.side) return
    at(nowMs + (from.delayMs + to.delayMs) / 2 * (0.8 + 0.4 * random()), () => {
      if (to.isFrozen) to.held.push(fn)
      else fn()
    })
  }

  function report (gateway: Gateway): void {
    if (gateway.isFrozen || gateway.isGone) return
    for (const point of points) {
      const { spender } = gateway
      const msg = spender.createReport(point.name, point.connectionEpoch, nowMs)
      if (msg === undefined) continue
      bytes += encodeFrame(msg).length
      const epoch = point.connectionEpoch
      deliver(gateway, point, () => {
        if (point.isDead || point.connectionEpoch !== epoch) return
        const answer = point.point.onReport(msg, nowMs)
        if (answer === undefined) return
        bytes += encodeFrame(answer).length
        deliver(point, gateway, () => { spender.onLevels(point.name, answer, nowMs) })
      })
    }
  }

  /** Offers a request to a gateway; it runs unless it is refused or, by chance, given back. */
  function offer (gateway: Gateway, cost: number, givenBackShare: number): void {
    const { spender } = gateway
    const result = spender.spend({ organisation, limit, cost, maxRetryAfterMs: 500 }, nowMs)
    if (result.err) {
      refusals.count++
      refusals.cost += cost
      refusals.byReason.set(result.val.reason, (refusals.byReason.get(result.val.reason) ?? 0) + 1)
      if (result.val.reason === AllowanceRefusal.Unreported) report(gateway)
      return
    }
    if (random() < givenBackShare) at(nowMs + 300, () => { spender.giveBack(organisation, cost) })
    else runs.push({ atMs: nowMs, cost, gateway })
  }

  return {
    gateways,
    points,
    runs,
    refusals,
    nowMs: () => nowMs,
    messages: () => messages,
    bytes: () => bytes,
    addGateway,
    setLimit (next: AllowanceLimit) { limit = next },
    freeze (host: Host) { host.isFrozen = true },
    thaw (host: Host) {
      host.isFrozen = false
      for (const fn of host.held.splice(0)) fn()
    },
    /** Starts a gateway anew; with `overlaps`, its earlier generation goes on beside it for a while. */
    restart (gateway: Gateway, overlaps = false) {
      if (overlaps) gateways.push({ ...gateway, weight: gateway.weight / 2, held: [], connections: new Map() })
      gateway.spender = createSpender()
    },
    killPoint (point: Point) { point.isDead = true },
    startPoint (point: Point) {
      point.isDead = false
      point.point = createPoint()
      point.connectionEpoch++
    },
    /** Runs for a time in milliseconds with a demand in units per second, in requests of the given costs. */
    run (ms: number, demandPerS: number, costs: readonly number[], givenBackShare = 0) {
      const meanCost = costs.reduce((sum, cost) => sum + cost, 0) / costs.length
      const endMs = nowMs + ms
      while (nowMs < endMs) {
        nowMs += stepMs
        const due = queue.get(nowMs) ?? []
        queue.delete(nowMs)
        for (const fn of due) fn()
        const live = gateways.filter((gateway) => !gateway.isGone && !gateway.isFrozen)
        const weights = live.reduce((sum, gateway) => sum + gateway.weight, 0)
        const mean = weights > 0 ? demandPerS / meanCost * stepMs / 1000 : 0
        for (let rest = mean; rest > 0; rest--) {
          if (random() >= rest) continue
          let pick = random() * weights
          const gateway = live.find((one) => (pick -= one.weight) < 0) ?? live[0] as Gateway
          offer(gateway, costs[Math.floor(random() * costs.length)] as number, givenBackShare)
        }
        gateways.forEach((gateway, i) => { if ((nowMs / stepMs + i) % (reportCheckMs / stepMs) === 0) report(gateway) })
      }
    },
    /** Returns the units that ran in a span of time. */
    sum (fromMs: number, toMs: number) {
      return runs.reduce((sum, run) => sum + (run.atMs > fromMs && run.atMs <= toMs ? run.cost : 0), 0)
    },
    /** Returns the largest sum of units that ran in any window. */
    peak (windowMs: number) {
      let first = 0
      let sum = 0
      let most = 0
      for (const run of runs) {
        sum += run.cost
        while ((runs[first] as Run).atMs <= run.atMs - windowMs) sum -= (runs[first++] as Run).cost
        most = Math.max(most, sum)
      }
      return most
    }
  }
}

/** Gateways and points in simulated time. */
export type Simulation = ReturnType<typeof createSimulation>
