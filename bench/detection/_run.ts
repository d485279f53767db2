/**
 * Runs one fault under load and measures how it is noticed.
 */
import { requestCompletion } from '../../testing/caller/mod.ts'
import { computeExpectedAnswer } from '../../testing/engine/mod.ts'
import { FaultKind } from '../../testing/faults/mod.ts'
import { findLastDecisionsMs, findLastReroutedMs, computeRecoveryMs } from './_figures.ts'
import { sleep } from './_rig.ts'
import type { Deployment } from '../../testing/deployment/mod.ts'
import type { MeasuredAnswer, RouteDecision } from './_figures.ts'

/** Names the faults. */
export enum Fault {
  AgentFrozen = 'agent frozen',
  EngineFrozen = 'engine frozen',
  AgentKilled = 'agent killed'
}

/** Figures of a run; times are milliseconds since the fault. */
export interface RunFigures {
  /** Each entry's last decision for the backend server. */
  lastDecisionsMs: number[]
  /** The last request that the backend server had goes elsewhere. */
  reroutedMs: number
  /** From here on at least 95% of the answers are good. */
  recoveryMs: number
  /** Answers that were not whole, or late. */
  notGood: number
  /** Answers that were not whole. */
  notWhole: number
  sent: number
  /** Number of answers that were not whole by what ended them. */
  codes: { [code: string]: number }
}

const everyMs = 16
const beforeMs = 1000
const afterMs = 4000
const settleMs = 2000
const windowMs = 500
const goodMs = 1500
const giveUpMs = 4000
const maxTokens = 40
const seatedMs = 20

/** An answer; `atMs` is the time of its request on the clock of the timer. */
interface Sent extends MeasuredAnswer {
  whole: boolean
  code: string
}

type Switch = (deployment: Deployment, backend: string) => Promise<void>

const begin: { [F in Fault]: Switch } = {
  [Fault.AgentFrozen]: async (deployment, backend) => deployment.freeze(`agent/${backend}`),
  [Fault.EngineFrozen]: (deployment, backend) => deployment.setFault(`backend/${backend}`, FaultKind.Freeze),
  [Fault.AgentKilled]: (deployment, backend) => deployment.kill(`agent/${backend}`)
}

const end: { [F in Fault]: Switch } = {
  [Fault.AgentFrozen]: async (deployment, backend) => deployment.unfreeze(`agent/${backend}`),
  [Fault.EngineFrozen]: (deployment, backend) => deployment.setFault(`backend/${backend}`, FaultKind.Clear),
  [Fault.AgentKilled]: (deployment, backend) => deployment.restart(`agent/${backend}`)
}

async function sendOne (deployment: Deployment, index: number, run: string): Promise<Sent> {
  const { timer, firm, layout } = deployment
  const startMs = timer.now()
  const prompt = `${run} question ${index} of the day`
  const done = await requestCompletion({
    address: deployment.getEntryAddress(index % layout.entries.length),
    key: firm.paidKey,
    model: firm.model,
    prompt,
    maxTokens,
    signal: AbortSignal.timeout(giveUpMs)
  })
  const whole = done.endCount === 1 && done.text === computeExpectedAnswer(prompt, maxTokens).tokens.join('')
  const code = done.code ?? (done.connectionError === undefined ? 'other' : 'given up')
  return { atMs: startMs, whole, code, good: whole && timer.now() - startMs <= goodMs }
}

function countCodes (sent: Sent[]): { [code: string]: number } {
  const codes: { [code: string]: number } = {}
  for (const { whole, code } of sent) {
    if (!whole) codes[code] = (codes[code] ?? 0) + 1
  }
  return codes
}

interface DecisionLine {
  time: string
  decision?: { request?: string, chosen?: string }
}

/** Reads the decisions that the entries logged from a wall time in milliseconds on. */
function readDecisions (deployment: Deployment, fromWallMs: number, faultWallMs: number): RouteDecision[] {
  const decisions: RouteDecision[] = []
  for (const { name } of deployment.layout.entries) {
    for (const line of deployment.getProcess(`entry/${name}`).readLines()) {
      if (!line.startsWith('{') || !line.includes('"decision"')) continue
      const { time, decision } = JSON.parse(line) as DecisionLine
      const wallMs = Date.parse(time)
      if (wallMs < fromWallMs || decision?.request === undefined || decision.chosen === undefined) continue
      decisions.push({ entry: name, request: decision.request, chosen: decision.chosen, atMs: wallMs - faultWallMs })
    }
  }
  return decisions
}

/**
 * Runs one fault of the first decode backend server and ends it again.
 *
 * @param deployment the processes
 * @param fault what happens
 * @param run a name that makes the prompts of this run its own
 * @returns the figures
 */
export async function runFault (deployment: Deployment, fault: Fault, run: string): Promise<RunFigures> {
  const { timer, layout } = deployment
  const victim = layout.backends.find((backend) => backend.role === 'decode')?.name ?? ''
  const fromWallMs = timer.wallClockMs()
  const answers: Array<Promise<Sent>> = []
  const load = timer.every(everyMs, () => { answers.push(sendOne(deployment, answers.length, run)) })
  await sleep(deployment, beforeMs + seatedMs)
  const faultAtMs = timer.now()
  const faultWallMs = timer.wallClockMs()
  await begin[fault](deployment, victim)
  await sleep(deployment, afterMs)
  load.cancel()
  const sent = await Promise.all(answers)
  await end[fault](deployment, victim)
  await sleep(deployment, settleMs)
  const decisions = readDecisions(deployment, fromWallMs, faultWallMs)
  return {
    lastDecisionsMs: findLastDecisionsMs(decisions, victim, layout.entries.map(({ name }) => name)),
    reroutedMs: findLastReroutedMs(decisions, victim),
    recoveryMs: computeRecoveryMs(sent.map(({ atMs, good }) => ({ atMs: atMs - faultAtMs, good })), windowMs, afterMs),
    notGood: sent.filter(({ good }) => !good).length,
    notWhole: sent.filter(({ whole }) => !whole).length,
    sent: sent.length,
    codes: countCodes(sent)
  }
}
