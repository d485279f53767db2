/**
 * The router: views of backend servers in, choices out.
 */
import { ChoicePolicy } from '../records/mod.ts'
import { Err, Ok } from '../results/mod.ts'
import { RefusalCode, Role } from '../types/mod.ts'
import { choicePolicies } from './_choice_policies.ts'
import { eligible } from './_eligible.ts'
import { isIdle, prefillMs, reserveWaitMs } from './_estimates.ts'
import { scoreAll } from './_score.ts'
import { LossReason } from './_types.ts'
import { createViews } from './_views.ts'
import type { Result } from '../results/mod.ts'
import type { TierClass } from '../types/mod.ts'
import type { Pick } from './_choice_policies.ts'
import type { EstimateContext } from './_estimates.ts'
import type { Scored } from './_score.ts'
import type { BackendInfo, BackendView, Choice, Choose, ChoosePair, PairChoice, Router, RouterOptions, RunnerUp, BackendHealth } from './_types.ts'

const maxRunnersUp = 16

function lossReason (scored: Scored, pick: Pick, choice: ChoicePolicy): LossReason {
  if (choice === ChoicePolicy.RoundRobin) return LossReason.NotInTurn
  if (!pick.compared.includes(scored)) return LossReason.NotSampled
  if (scored.load > pick.best.load) return LossReason.HigherLoad
  if (scored.distance > pick.best.distance) return LossReason.FartherAway
  return scored.affinity < pick.best.affinity ? LossReason.NoPrefix : LossReason.HigherLoad
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

  function takeTurn (wanted: Choose): number {
    const key = `${wanted.role}/${wanted.model}/${wanted.region ?? ''}`
    const turn = turns.get(key) ?? 0
    turns.set(key, turn + 1)
    return turn
  }

  function choose (wanted: Choose, nowMs: number): Result<Choice, RefusalCode> {
    const sorted = eligible(views.all(), wanted, { nowMs, stallMs, reportStaleMs })
    if (sorted.candidates.length === 0) {
      const unserved = sorted.roleSeen && sorted.losers.every((loser) => loser.reason === LossReason.OtherModel)
      return Err(unserved ? RefusalCode.ModelNotServed : RefusalCode.NoBackend)
    }
    const ctx = { place, affinitySeats: policy.affinitySeats, reportStaleMs, prefixStaleMs, nowMs }
    const scores = scoreAll(sorted.candidates, wanted, ctx)
    const pick = choicePolicies[policy.choice](scores, { random, turn: takeTurn(wanted) })
    const runnersUp: RunnerUp[] = []
    for (const scored of scores) {
      if (scored === pick.best) continue
      runnersUp.push({ backend: scored.view.info.name, reason: lossReason(scored, pick, policy.choice) })
    }
    runnersUp.push(...sorted.losers.filter((loser) => loser.reason !== LossReason.OtherModel))
    return Ok({
      backend: pick.best.view.info.name, score: pick.best.score, runnersUp: runnersUp.slice(0, maxRunnersUp)
    })
  }

  function requestsAtPrefill (): number {
    return [...views.all()].reduce((sum, view) => sum + (view.info.role === Role.Prefill ? view.requests : 0), 0)
  }

  function contextAt (nowMs: number, candidates: number): EstimateContext {
    const coming = requestsAtPrefill() / Math.max(1, candidates)
    return { nowMs, reportStaleMs, paidHeadroom: policy.paidHeadroom ?? 0, coming }
  }

  function leastOver (wanted: Choose, nowMs: number, estimate: (view: BackendView, ctx: EstimateContext) => number): number {
    const { candidates } = eligible(views.all(), wanted, { nowMs, stallMs, reportStaleMs })
    const ctx = contextAt(nowMs, candidates.length)
    return candidates.length === 0 ? 0 : Math.min(...candidates.map((view) => estimate(view, ctx)))
  }

  function estimateFirstTokenMs (backend: string, promptTokens: number, tierClass: TierClass, nowMs: number): number {
    const view = views.get(backend)
    return view === undefined ? 0 : prefillMs(view, promptTokens, tierClass, contextAt(nowMs, 1))
  }

  function regionsOf (wanted: ChoosePair): string[] {
    if (wanted.region !== undefined) return [wanted.region]
    const regions = new Set([place.region])
    for (const view of views.all()) regions.add(view.info.region)
    return [...regions]
  }

  function pairIn (wanted: ChoosePair, region: string | undefined, nowMs: number): Result<PairChoice, RefusalCode> {
    const limited: ChoosePair = { ...wanted }
    if (region !== undefined) limited.region = region
    const decode = choose({ ...limited, role: Role.Decode }, nowMs)
    if (decode.err) return decode
    const prefill = choose({ ...limited, role: Role.Prefill }, nowMs)
    if (prefill.err) return prefill
    return Ok({ prefill: prefill.val, decode: decode.val })
  }

  function choosePair (wanted: ChoosePair, nowMs: number): Result<PairChoice, RefusalCode> {
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
    started: (backend, tokens) => { views.count(backend, 1, tokens) },
    ended: (backend, tokens) => { views.count(backend, -1, -tokens) },
    notePrefixes: views.notePrefixes,
    observePrefill: views.observePrefill,
    choose,
    choosePair,
    estimateReserveMs: (wanted, tierClass, nowMs) =>
      leastOver(wanted, nowMs, (view, ctx) => reserveWaitMs(view, wanted.promptTokens, tierClass, ctx)),
    estimateBestPrefillMs: (wanted, tierClass, nowMs) =>
      leastOver(wanted, nowMs, (view, ctx) =>
        isIdle(view) ? 0 : prefillMs(view, wanted.promptTokens, tierClass, ctx)),
    estimateFirstTokenMs,
    views: () => [...views.all()]
  }
}
