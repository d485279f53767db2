/**
 * Gives the engine on this machine the orders that the balance of stages asks for.
 */
import { chooseStages } from '../core/balance/mod.ts'
import { createFence } from '../core/fence/mod.ts'
import { callJson } from '../exchange/mod.ts'
import { decodeOrderResult, buildOrderCall, OrderResult } from '../platform/mod.ts'
import type { ChooseStagesOptions } from '../core/balance/mod.ts'
import type { Stage, WorkerEntry } from '../core/fleet/mod.ts'
import type { Directory } from '../directory/mod.ts'
import type { ExchangePool } from '../exchange/mod.ts'
import type { Log } from '../log/mod.ts'
import type { EngineReport } from '../platform/mod.ts'
import type { Timer } from '../timer/mod.ts'

/** Configures the task. */
export interface StageTaskOptions {
  /** Name of this machine, which holds the orders of its engine. */
  machine: string
  directory: Directory
  pool: ExchangePool
  timer: Timer
  log: Log
  balance: ChooseStagesOptions
}

/** Gives orders to one engine. */
export interface StageTask {
  /** Takes a fresh report of the engine and orders another stage when one is due. */
  onReport (entry: WorkerEntry, report: EngineReport): Promise<void>
  /** True while an order is due, outstanding, or accepted and not yet shown by a report. */
  isSwitching (): boolean
}

const orderTimeoutMs = 1_000
/** Time in milliseconds for which another stage must be due before it is ordered: a worker that restarts is back by then. */
const settleMs = 1_500
/** Step of a fence beyond one that the engine refused: more than a directory that reads the store lags behind. */
const fenceStep = 1_048_576

/** Creates the task of one engine. */
export function createStageTask (options: StageTaskOptions): StageTask {
  const { machine, directory, pool, timer, log } = options
  let dueSinceMs: number | undefined
  let refusedFence = 0
  let outstanding = false

  function due (entry: WorkerEntry, report: EngineReport): Stage | undefined {
    const engines = directory.fleet.serving(entry.service).map((worker) => worker.entry)
    const stage = chooseStages(engines, options.balance).get(entry.id)
    if (stage === undefined || stage === report.stage || report.busy) {
      dueSinceMs = undefined
      return undefined
    }
    dueSinceMs ??= timer.now()
    return timer.now() - dueSinceMs >= settleMs ? stage : undefined
  }

  async function order (entry: WorkerEntry, report: EngineReport, stage: Stage): Promise<void> {
    const fence = createFence({ revision: directory.revision(), engineFence: refusedFence, incarnation: report.orders }).next()
    const call = buildOrderCall({ stage, holder: machine, fence, expectedOrders: report.orders, workerId: entry.id })
    const answer = await callJson(entry.address, call, { pool, timer, timeoutMs: orderTimeoutMs })
    const result = answer.err ? answer.val.message : decodeOrderResult(answer.val.status)
    if (result === OrderResult.Fenced) refusedFence = fence + fenceStep
    dueSinceMs = undefined
    log.info({ worker: entry.id, from: report.stage, stage, fence, ordersBefore: report.orders, result }, 'order')
  }

  return {
    async onReport (entry, report) {
      const stage = outstanding ? undefined : due(entry, report)
      if (stage === undefined) return
      outstanding = true
      await order(entry, report, stage)
      outstanding = false
    },
    isSwitching: () => outstanding || dueSinceMs !== undefined
  }
}
