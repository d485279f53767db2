/**
 * Steps for the queue of an agent.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { AdmissionPolicy } from '../core/records/mod.ts'
import { createReservationTable } from '../core/reservation/mod.ts'
import { TierClass } from '../core/types/mod.ts'
import { DecisionKind } from '../log/mod.ts'
import { createMetrics } from '../metrics/mod.ts'
import { createManualTimer } from '../timer/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import { createQueueTask } from './_queue_task.ts'
import type { DataTable } from '@cucumber/cucumber'
import type { RunningItem } from '../core/admission/mod.ts'
import type { ReservationTable } from '../core/reservation/mod.ts'
import type { Decision } from '../log/mod.ts'
import type { ManualTimer } from '../timer/mod.ts'
import type { QueueTask, QueueTaskOptions } from './_queue_task.ts'
import type { TaskPorts } from './_types.ts'

interface World {
  queueTimer: ManualTimer
  queue: QueueTask
  queueTable: ReservationTable
  logged: Decision[]
}

Given('a queue of an agent with {int} seats, both taken by free work', function (this: World, seats: number) {
  this.queueTimer = createManualTimer()
  this.logged = []
  const table = createReservationTable({ seats, pieces: 100 })
  this.queueTable = table
  const running: RunningItem[] = []
  for (let i = 1; i <= seats; i++) {
    const ref = { requestId: `f${i}`, attempt: 1 }
    table.reserve({ ref, owner: 'entry-1#1', pieces: 1 }, 0)
    table.start(ref)
    running.push({ ref, tierClass: TierClass.Free, pieces: 1, paused: false, started: true })
  }
  const log = { decision: (decision: Decision) => { this.logged.push(decision) } } as TaskPorts['log']
  const ports: TaskPorts = { timer: this.queueTimer, log, metrics: createMetrics(undefined), send: () => true, isDraining: () => false }
  const options: QueueTaskOptions = {
    table,
    load: { toPieces: () => 1 } as unknown as QueueTaskOptions['load'],
    seats,
    pieces: 100,
    paidHeadroom: () => 0,
    admission: () => AdmissionPolicy.Tiered,
    listRunning: () => running,
    revision: () => 7,
    onPaused (ref, paused) {
      table.setPaused(ref, paused)
      for (const item of running) if (item.ref.requestId === ref.requestId) item.paused = paused
    }
  }
  this.queue = createQueueTask(ports, options)
})

When('paid work with a wait limit of {int} ms is queued {int} times and waiting work is admitted after {int} ms',
  function (this: World, waitMs: number, times: number, afterMs: number) {
    for (let i = 1; i <= times; i++) {
      this.queue.enqueue('entry-1#1', {
        kind: MessageKind.Reserve,
        requestId: `p${i}`,
        attempt: 1,
        model: 'sipario-llm',
        version: 'v1',
        pieces: 1,
        tokens: 16,
        tierClass: TierClass.Paid,
        caller: 'teatri',
        waitMs
      })
    }
    this.queueTimer.advance(afterMs)
    this.queue.admitWaiting()
  })

When('the reservation of {string} ends and waiting work is admitted', function (this: World, requestId: string) {
  this.queueTable.release({ requestId, attempt: 1 })
  this.queue.admitWaiting()
})

Then('the queue logged the admission decisions', function (this: World, table: DataTable) {
  assert.ok(this.logged.every(({ kind, revision }) => kind === DecisionKind.Admission && revision === 7))
  assert.deepEqual(this.logged.map(({ request, reason }) => ({ request, reason })), table.hashes())
})
