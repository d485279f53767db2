/**
 * Injects one fault under load and measures how the entries react.
 */
import { requestCompletion } from '../../testing/caller/mod.ts'
import { computeExpectedAnswer } from '../../testing/engine/mod.ts'
import { FaultKind } from '../../testing/faults/mod.ts'
import { findLastDecisionsMs, findLastReroutedMs, computeRecoveryMs } from './_figures.ts'
import { sleep } from './_rig.ts'
import type { Deployment } from '../../testing/deployment/mod.ts'
import type { MeasuredAnswer, RouteDecision } from './_figures.ts'

/** Names the faults that the bench injects into a decode backend server. */
export enum Fault {
  AgentFrozen = 'agent frozen',
  EngineFrozen = 'engine frozen',
  AgentKilled = 'agent killed'
}

/** Figures of a run; times are milliseconds since the fault. */
export interface RunFigures {
  /** Time of each entry's last decision that chose the faulty backend server. */
  lastDecisionsMs: number[]
  /** Time at which the last request on the faulty backend server was routed to another one. */
  reroutedMs: number
  /** Time from which at least 95% of the answers are good. */
  recoveryMs: number
  /** Number of answers that were incomplete, wrong or late. */
  notGood: number
  /** Number of answers that were incomplete or wrong. */
  notWhole: number
  /** Number of requests that were sent. */
  sent: number
  /** Number of incomplete or wrong answers by error code; `given up` for a failed or timed-out connection, else `other`. */
  codes: { [code: string]: number }
}

const requestIntervalMs = 16
const warmupMs = 1000
const loadAfterFaultMs = 4000
const recoverySettleMs = 2000
const recoveryWindowMs = 500
const maxGoodAnswerMs = 1500
const requestTimeoutMs = 4000
const maxTokens = 40
const seatedMs = 20

/** Describes the answer to one sent request; `atMs` is the time of sending on the deployment's timer. */
interface SentRequest extends MeasuredAnswer {
  /** True when the answer ended once and has the text that the prompt yields. */
  isWhole: boolean
  code: string
}

type FaultAction = (deployment: Deployment, backend: string) => Promise<void>

const startFault: { [F in Fault]: FaultAction } = {
  [Fault.AgentFrozen]: async (deployment, backend) => deployment.freeze(`agent/${backend}`),
  [Fault.EngineFrozen]: (deployment, backend) => deployment.setFault(`backend/${backend}`, FaultKind.Freeze),
  [Fault.AgentKilled]: (deployment, backend) => deployment.kill(`agent/${backend}`)
}

const clearFault: { [F in Fault]: FaultAction } = {
  [Fault.AgentFrozen]: async (deployment, backend) => deployment.unfreeze(`agent/${backend}`),
  [Fault.EngineFrozen]: (deployment, backend) => deployment.setFault(`backend/${backend}`, FaultKind.Clear),
  [Fault.AgentKilled]: (deployment, backend) => deployment.restart(`agent/${backend}`)
}

async function sendOne (deployment: Deployment, index: number, runName: string): Promise<SentRequest> {
  const { timer, firm, layout } = deployment
  const startMs = timer.now()
  const prompt = `${runName} question ${index} of the day`
  const done = await requestCompletion({
    address: deployment.getEntryAddress(index % layout.entries.length),
    key: firm.paidKey,
    model: firm.model,
    prompt,
    maxTokens,
    signal: AbortSignal.timeout(requestTimeoutMs)
  })
  const isWhole = done.endCount === 1 && done.text === computeExpectedAnswer(prompt, maxTokens).tokens.join('')
  const code = done.code ?? (done.connectionError === undefined ? 'other' : 'given up')
  return { atMs: startMs, isWhole, code, isGood: isWhole && timer.now() - startMs <= maxGoodAnswerMs }
}

function countCodes (sent: SentRequest[]): { [code: string]: number } {
  const codes: { [code: string]: number } = {}
  for (const { isWhole, code } of sent) {
    if (!isWhole) codes[code] = (codes[code] ?? 0) + 1
  }
  return codes
}

interface DecisionLine {
  time: string
  decision?: { request?: string, chosen?: string }
}

/** Reads the routing decisions that the entries logged since `fromWallMs`; wall times are milliseconds since the epoch. */
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
 * Sends load, injects a fault into the first decode backend server, and clears the fault after the last answer.
 *
 * @param deployment the running processes
 * @param fault the fault to inject
 * @param runName a name that makes the prompts of this run differ from those of other runs
 * @returns the figures of the run, with times in milliseconds since the fault
 */
export async function runFault (deployment: Deployment, fault: Fault, runName: string): Promise<RunFigures> {
  const { timer, layout } = deployment
  const faultyBackend = layout.backends.find((backend) => backend.role === 'decode')?.name ?? ''
  const fromWallMs = timer.wallClockMs()
  const answers: Array<Promise<SentRequest>> = []
  const load = timer.every(requestIntervalMs, () => { answers.push(sendOne(deployment, answers.length, runName)) })
  await sleep(deployment, warmupMs + seatedMs)
  const faultAtMs = timer.now()
  const faultWallMs = timer.wallClockMs()
  await startFault[fault](deployment, faultyBackend)
  await sleep(deployment, loadAfterFaultMs)
  load.cancel()
  const sent = await Promise.all(answers)
  await clearFault[fault](deployment, faultyBackend)
  await sleep(deployment, recoverySettleMs)
  const decisions = readDecisions(deployment, fromWallMs, faultWallMs)
  return {
    lastDecisionsMs: findLastDecisionsMs(decisions, faultyBackend, layout.entries.map(({ name }) => name)),
    reroutedMs: findLastReroutedMs(decisions, faultyBackend),
    recoveryMs: computeRecoveryMs(sent.map(({ atMs, isGood }) => ({ atMs: atMs - faultAtMs, isGood })), recoveryWindowMs, loadAfterFaultMs),
    notGood: sent.filter(({ isGood }) => !isGood).length,
    notWhole: sent.filter(({ isWhole }) => !isWhole).length,
    sent: sent.length,
    codes: countCodes(sent)
  }
}
