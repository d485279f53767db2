/**
 * The router: keeps views of backend servers and chooses among them.
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
import type {
  BackendHealth, BackendInfo, BackendPairQuery, BackendQuery, BackendView, Choice, PairChoice, Router, RouterOptions, RunnerUp
} from './_types.ts'

/** Highest number of backend servers that a choice lists as not chosen. */
const maxRunnersUp = 16

function findReason (scored: ScoredBackend, policyChoice: PolicyChoice, choice: ChoicePolicy): NotChosenReason {
  if (choice === ChoicePolicy.RoundRobin) return NotChosenReason.NotInTurn
  if (!policyChoice.compared.includes(scored)) return NotChosenReason.NotSampled
  if (scored.load > policyChoice.best.load) return NotChosenReason.HigherLoad
  if (scored.distance > policyChoice.best.distance) return NotChosenReason.FartherAway
  return scored.affinity < policyChoice.best.affinity ? NotChosenReason.NoPrefix : NotChosenReason.HigherLoad
}

/**
 * Creates a router.
 *
 * The views are hints and may be stale. A choice from a wrong view is refused by the agent of the backend server, which alone admits
 * work.
 *
 * @param options the policy, the place of this process, a source of random numbers, and the ages at which hints are stale
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
 * const query = { role: Role.Decode, model: 'redaction', version: '*', promptTokens: 9, prefixes: [], exclude: [] }
 * console.assert(router.choose(query, 0).unwrap().backend === 'd1')
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

  function nextTurn (query: BackendQuery): number {
    const key = `${query.role}/${query.model}/${query.region ?? ''}`
    const turn = turns.get(key) ?? 0
    turns.set(key, turn + 1)
    return turn
  }

  function choose (query: BackendQuery, nowMs: number): Result<Choice, RefusalCode> {
    const eligible = selectEligible(views.all(), query, { nowMs, stallMs, reportStaleMs })
    if (eligible.candidates.length === 0) {
      const isModelUnserved = eligible.hasRole && eligible.rejected.every((other) => other.reason === NotChosenReason.OtherModel)
      return Err(isModelUnserved ? RefusalCode.ModelNotServed : RefusalCode.NoBackend)
    }
    const context = { place, affinitySeats: policy.affinitySeats, reportStaleMs, prefixStaleMs, nowMs }
    const scores = scoreBackends(eligible.candidates, query, context)
    const policyChoice = choicePolicies[policy.choice](scores, { random, turn: nextTurn(query) })
    const runnersUp: RunnerUp[] = []
    for (const scored of scores) {
      if (scored === policyChoice.best) continue
      runnersUp.push({ backend: scored.view.info.name, reason: findReason(scored, policyChoice, policy.choice) })
    }
    runnersUp.push(...eligible.rejected.filter((other) => other.reason !== NotChosenReason.OtherModel))
    return Ok({
      backend: policyChoice.best.view.info.name, score: policyChoice.best.score, runnersUp: runnersUp.slice(0, maxRunnersUp)
    })
  }

  function countRequestsInPrefill (): number {
    return [...views.all()].reduce((sum, view) => sum + (view.info.role === Role.Prefill ? view.ownRequests : 0), 0)
  }

  function createEstimateContext (nowMs: number, candidates: number): EstimateContext {
    const expectedReservations = countRequestsInPrefill() / Math.max(1, candidates)
    return { nowMs, reportStaleMs, paidHeadroom: policy.paidHeadroom ?? 0, expectedReservations }
  }

  function findShortestMs (query: BackendQuery, nowMs: number, estimate: (view: BackendView, context: EstimateContext) => number): number {
    const { candidates } = selectEligible(views.all(), query, { nowMs, stallMs, reportStaleMs })
    const context = createEstimateContext(nowMs, candidates.length)
    return candidates.length === 0 ? 0 : Math.min(...candidates.map((view) => estimate(view, context)))
  }

  function estimateFirstTokenMs (backend: string, promptTokens: number, tierClass: TierClass, nowMs: number): number {
    const view = views.get(backend)
    return view === undefined ? 0 : estimatePrefillMs(view, promptTokens, tierClass, createEstimateContext(nowMs, 1))
  }

  function listRegions (query: BackendPairQuery): string[] {
    if (query.region !== undefined) return [query.region]
    const regions = new Set([place.region])
    for (const view of views.all()) regions.add(view.info.region)
    return [...regions]
  }

  function choosePairIn (query: BackendPairQuery, region: string | undefined, nowMs: number): Result<PairChoice, RefusalCode> {
    const regionalQuery: BackendPairQuery = { ...query }
    if (region !== undefined) regionalQuery.region = region
    const decode = choose({ ...regionalQuery, role: Role.Decode }, nowMs)
    if (decode.err) return decode
    const prefill = choose({ ...regionalQuery, role: Role.Prefill }, nowMs)
    if (prefill.err) return prefill
    return Ok({ prefill: prefill.val, decode: decode.val })
  }

  function choosePair (query: BackendPairQuery, nowMs: number): Result<PairChoice, RefusalCode> {
    if (options.crossRegionKv) return choosePairIn(query, query.region, nowMs)
    let best: Result<PairChoice, RefusalCode> = Err(RefusalCode.NoBackend)
    let bestScore = Infinity
    for (const region of listRegions(query)) {
      const pair = choosePairIn(query, region, nowMs)
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
    estimateReserveMs: (query, tierClass, nowMs) =>
      findShortestMs(query, nowMs, (view, context) => estimateReserveWaitMs(view, query.promptTokens, tierClass, context)),
    estimateBestPrefillMs: (query, tierClass, nowMs) =>
      findShortestMs(query, nowMs, (view, context) =>
        isIdle(view) ? 0 : estimatePrefillMs(view, query.promptTokens, tierClass, context)),
    estimateFirstTokenMs,
    views: () => [...views.all()]
  }
}
