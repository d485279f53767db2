/**
 * The exchange point for what gateways have at the workers of plain services.
 */
import { createLoadSums, LoadTopic } from '../core/cost/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { ExchangeHandlers } from './_admission_task.ts'

/** Keeps the newest report of each gateway and answers with the sum over the others. */
export interface WorkerLoadsTask {
  handlers: ExchangeHandlers
  /** Returns the number of gateways that report. */
  members (): number
}

/** Age in milliseconds up to which a report about reads counts. */
const maxReadsAgeMs = 4_000

/** Creates the task; it keeps its state in memory only, and a point that starts anew knows all gateways after one report of each. */
export function createWorkerLoadsTask (timer: Timer): WorkerLoadsTask {
  // Reads are reported each second, a report that is lost among them.
  const sumsByTopic = { [LoadTopic.Plain]: createLoadSums(), [LoadTopic.Reads]: createLoadSums({ maxAgeMs: maxReadsAgeMs }) }
  return {
    handlers: {
      [MessageKind.WorkerLoads]: (connection, { topic, name, incarnation, seq, asks, loads }) => {
        const sums = sumsByTopic[topic]
        const nowMs = timer.now()
        if (!sums.add({ name, incarnation, seq, loads }, nowMs) || !asks) return
        connection.send({ kind: MessageKind.WorkerLoadsSum, topic, seq, ageMs: sums.meanAgeMs(name, nowMs), loads: sums.sumOthers(name, nowMs) })
      }
    },
    members: () => sumsByTopic[LoadTopic.Plain].members(timer.now())
  }
}
