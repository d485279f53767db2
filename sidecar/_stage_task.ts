/**
 * Orders the engine on this machine to the stage that the balance of stages assigns to it.
 */
import { chooseStages } from '../core/balance/mod.ts'
import { createFence } from '../core/fence/mod.ts'
import { callJson } from '../exchange/mod.ts'
import { decodeOrderResult, buildOrderCall, OrderResult } from '../platform/mod.ts'
import type { ChooseStagesOptions } from '../core/balance/mod.ts'
import type { Stage, WorkerEntry } from '../core/fleet/mod.ts'
import type { Directory } from '../directory/mod.ts'
import type { ExchangePool, JsonResponse } from '../exchange/mod.ts'
import type { Log } from '../log/mod.ts'
import type { EngineReport } from '../platform/mod.ts'
import type { Timer } from '../timer/mod.ts'

/** Configures the orders to an engine. */
export interface StageTaskOptions {
  /** Name of this machine, which is the holder in the orders to its engine. */
  machine: string
  directory: Directory
  pool: ExchangePool
  timer: Timer
  log: Log
  balance: ChooseStagesOptions
  /** Receives each answer of the engine to an order. */
  onAnswer: (response: JsonResponse) => void
  /** Tells whether the engine leaves, so that it gets no order. */
  isLeaving: () => boolean
}

/** Orders the stage of one engine. */
export interface StageTask {
  /** Applies a new report of the engine and orders another stage when one is due. */
  onReport (entry: WorkerEntry, report: EngineReport): Promise<void>
  /** Tells whether another stage is due, or an order of one is outstanding. */
  isSwitching (): boolean
}

const orderTimeoutMs = 1_000
/** Time in milliseconds for which another stage must be due before it is ordered; a restarting worker is back within it. */
const minDueMs = 1_500
/** Increment of the fencing token beyond one that the engine refused: more revisions than a directory that reads the store lags behind. */
const fenceStep = 1_048_576

/** Creates the orders to one engine. */
export function createStageTask (options: StageTaskOptions): StageTask {
  const { machine, directory, pool, timer, log } = options
  let dueSinceMs: number | undefined
  let refusedFence = 0
  let isOrdering = false

  function findDueStage (entry: WorkerEntry, report: EngineReport): Stage | undefined {
    const engines = directory.fleet.serving(entry.service).map((worker) => worker.entry)
    const stage = chooseStages(engines, options.balance).get(entry.id)
    if (stage === undefined || stage === report.stage || report.busy || options.isLeaving()) {
      dueSinceMs = undefined
      return undefined
    }
    dueSinceMs ??= timer.now()
    return timer.now() - dueSinceMs >= minDueMs ? stage : undefined
  }

  async function orderStage (entry: WorkerEntry, report: EngineReport, stage: Stage): Promise<void> {
    const fence = createFence({ ...directory.position(), engineFence: refusedFence, incarnation: report.orders }).next()
    const call = buildOrderCall({ stage, holder: machine, fence, expectedOrders: report.orders, workerId: entry.id })
    const response = await callJson(entry.address, call, { pool, timer, timeoutMs: orderTimeoutMs })
    if (response.ok) options.onAnswer(response.val)
    const result = response.err ? response.val.message : decodeOrderResult(response.val.status)
    if (result === OrderResult.Fenced) refusedFence = fence + fenceStep
    dueSinceMs = undefined
    log.info({ worker: entry.id, from: report.stage, stage, fence, ordersBefore: report.orders, result }, 'order')
  }

  return {
    async onReport (entry, report) {
      const stage = isOrdering ? undefined : findDueStage(entry, report)
      if (stage === undefined) return
      isOrdering = true
      await orderStage(entry, report, stage)
      isOrdering = false
    },
    isSwitching: () => isOrdering || dueSinceMs !== undefined
  }
}
