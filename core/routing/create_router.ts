/**
 * The router: views of backend servers in, choices out.
 */
import { ChoicePolicy } from '../records/mod.ts'
import { Err, Ok } from '../results/mod.ts'
import { RefusalCode, Role } from '../types/mod.ts'
import { choicePolicies } from './_choice_policies.ts'
import { selectEligible } from './_select_eligible.ts'
import { isIdle, estimatePrefillMs, estimateReserveWaitMs } from './_estimates.ts'
import { scoreBackends } from './_score.ts'
import { NotChosenReason } from './_types.ts'
import { createViews } from './_views.ts'
import type { Result } from '../results/mod.ts'
import type { TierClass } from '../types/mod.ts'
import type { PolicyChoice } from './_choice_policies.ts'
import type { EstimateContext } from './_estimates.ts'
import type { ScoredBackend } from './_score.ts'
import type { BackendInfo, BackendView, Choice, BackendQuery, BackendPairQuery, PairChoice, Router, RouterOptions, RunnerUp, BackendHealth } from './_types.ts'

const maxRunnersUp = 16

function lossReason (scored: ScoredBackend, pick: PolicyChoice, choice: ChoicePolicy): NotChosenReason {
  if (choice === ChoicePolicy.RoundRobin) return NotChosenReason.NotInTurn
  if (!pick.compared.includes(scored)) return NotChosenReason.NotSampled
  if (scored.load > pick.best.load) return NotChosenReason.HigherLoad
  if (scored.distance > pick.best.distance) return NotChosenReason.FartherAway
  return scored.affinity < pick.best.affinity ? NotChosenReason.NoPrefix : NotChosenReason.HigherLoad
}

/**
 * Creates a router.
 *
 * The views are hints: a wrong one costs a refusal by the agent that owns the backend server, never a promise.
 *
 * @param options the policy, the own place, a source of random numbers and the ages at which hints run out
 * @returns the router
 *
 * @example
 * ```ts
 * import { createRouter } from 'briarloom/core/routing'
 * import { ChoicePolicy } from 'briarloom/core/records'
 * import { Role } from 'briarloom/core/types'
 *
 * const place = { availabilityZone: 'levis', region: 'qc-est' }
 * const router = createRouter({
 *   policy: { choice: ChoicePolicy.PowerOfTwo, affinitySeats: 2 }, place, random: () => 0.5
 * })
 * router.upsert({ ...place, name: 'd1', role: Role.Decode, serves: 'redaction', version: '1', weight: 1 })
 * const wanted = { role: Role.Decode, model: 'redaction', version: '*', promptTokens: 9, prefixes: [], exclude: [] }
 * console.assert(router.choose(wanted, 0).unwrap().backend === 'd1')
 * ```
 */
export function createRouter (options: RouterOptions): Router {
  const { place, random } = options
  const reportStaleMs = options.reportStaleMs ?? 3000
  const prefixStaleMs = options.prefixStaleMs ?? 10000
  const stallMs = options.stallMs ?? 500
  const views = createViews({ prefixStaleMs, prefillMsPerToken: options.prefillMsPerToken ?? 0.2, reportStaleMs })
  const turns = new Map<string, number>()
  let policy = options.policy

  function takeTurn (wanted: BackendQuery): number {
    const key = `${wanted.role}/${wanted.model}/${wanted.region ?? ''}`
    const turn = turns.get(key) ?? 0
    turns.set(key, turn + 1)
    return turn
  }

  function choose (wanted: BackendQuery, nowMs: number): Result<Choice, RefusalCode> {
    const sorted = selectEligible(views.all(), wanted, { nowMs, stallMs, reportStaleMs })
    if (sorted.candidates.length === 0) {
      const unserved = sorted.hasRole && sorted.rejected.every((loser) => loser.reason === NotChosenReason.OtherModel)
      return Err(unserved ? RefusalCode.ModelNotServed : RefusalCode.NoBackend)
    }
    const ctx = { place, affinitySeats: policy.affinitySeats, reportStaleMs, prefixStaleMs, nowMs }
    const scores = scoreBackends(sorted.candidates, wanted, ctx)
    const pick = choicePolicies[policy.choice](scores, { random, turn: takeTurn(wanted) })
    const runnersUp: RunnerUp[] = []
    for (const scored of scores) {
      if (scored === pick.best) continue
      runnersUp.push({ backend: scored.view.info.name, reason: lossReason(scored, pick, policy.choice) })
    }
    runnersUp.push(...sorted.rejected.filter((loser) => loser.reason !== NotChosenReason.OtherModel))
    return Ok({
      backend: pick.best.view.info.name, score: pick.best.score, runnersUp: runnersUp.slice(0, maxRunnersUp)
    })
  }

  function requestsAtPrefill (): number {
    return [...views.all()].reduce((sum, view) => sum + (view.info.role === Role.Prefill ? view.ownRequests : 0), 0)
  }

  function contextAt (nowMs: number, candidates: number): EstimateContext {
    const coming = requestsAtPrefill() / Math.max(1, candidates)
    return { nowMs, reportStaleMs, paidHeadroom: policy.paidHeadroom ?? 0, expectedReservations: coming }
  }

  function leastOver (wanted: BackendQuery, nowMs: number, estimate: (view: BackendView, ctx: EstimateContext) => number): number {
    const { candidates } = selectEligible(views.all(), wanted, { nowMs, stallMs, reportStaleMs })
    const ctx = contextAt(nowMs, candidates.length)
    return candidates.length === 0 ? 0 : Math.min(...candidates.map((view) => estimate(view, ctx)))
  }

  function estimateFirstTokenMs (backend: string, promptTokens: number, tierClass: TierClass, nowMs: number): number {
    const view = views.get(backend)
    return view === undefined ? 0 : estimatePrefillMs(view, promptTokens, tierClass, contextAt(nowMs, 1))
  }

  function regionsOf (wanted: BackendPairQuery): string[] {
    if (wanted.region !== undefined) return [wanted.region]
    const regions = new Set([place.region])
    for (const view of views.all()) regions.add(view.info.region)
    return [...regions]
  }

  function pairIn (wanted: BackendPairQuery, region: string | undefined, nowMs: number): Result<PairChoice, RefusalCode> {
    const limited: BackendPairQuery = { ...wanted }
    if (region !== undefined) limited.region = region
    const decode = choose({ ...limited, role: Role.Decode }, nowMs)
    if (decode.err) return decode
    const prefill = choose({ ...limited, role: Role.Prefill }, nowMs)
    if (prefill.err) return prefill
    return Ok({ prefill: prefill.val, decode: decode.val })
  }

  function choosePair (wanted: BackendPairQuery, nowMs: number): Result<PairChoice, RefusalCode> {
    if (options.crossRegionKv) return pairIn(wanted, wanted.region, nowMs)
    let best: Result<PairChoice, RefusalCode> = Err(RefusalCode.NoBackend)
    let bestScore = Infinity
    for (const region of regionsOf(wanted)) {
      const pair = pairIn(wanted, region, nowMs)
      if (pair.err) {
        if (best.err && region === place.region) best = pair
        continue
      }
      const score = pair.val.prefill.score + pair.val.decode.score
      if (score < bestScore) {
        best = pair
        bestScore = score
      }
    }
    return best
  }

  return {
    setPolicy: (next) => { policy = next },
    upsert: (info: BackendInfo) => { views.upsert(info) },
    remove: (backend) => { views.remove(backend) },
    setHealth: (backend: string, health: BackendHealth) => { views.setHealth(backend, health) },
    onLoad: views.onLoad,
    recordStart: (backend, tokens) => { views.adjustInFlight(backend, 1, tokens) },
    recordEnd: (backend, tokens) => { views.adjustInFlight(backend, -1, -tokens) },
    recordPrefixes: views.recordPrefixes,
    observePrefill: views.observePrefill,
    choose,
    choosePair,
    estimateReserveMs: (wanted, tierClass, nowMs) =>
      leastOver(wanted, nowMs, (view, ctx) => estimateReserveWaitMs(view, wanted.promptTokens, tierClass, ctx)),
    estimateBestPrefillMs: (wanted, tierClass, nowMs) =>
      leastOver(wanted, nowMs, (view, ctx) =>
        isIdle(view) ? 0 : estimatePrefillMs(view, wanted.promptTokens, tierClass, ctx)),
    estimateFirstTokenMs,
    views: () => [...views.all()]
  }
}
