/**
 * Asks whether requests may be sent to workers now, and records what workers say of themselves.
 */
import { checkSend, getEarliestSendMs, SendRank } from '../core/fleet/mod.ts'
import { recordWord } from '../directory/mod.ts'
import { Count } from '../metrics/mod.ts'
import { decodeResponseHead } from '../platform/mod.ts'
import type { SendVerdict, Worker } from '../core/fleet/mod.ts'
import type { JsonResponse } from '../exchange/mod.ts'
import type { ResponseHead } from '../platform/mod.ts'
import type { GatewayContext } from './_types.ts'

/** Number of sidecars that are told that a worker leaves, so that it arrives although some of them are cut off. */
const newsSidecars = 3

/** Returns whether a request with the given shared prompt parts may be sent to a worker now. */
export function checkWorker (context: GatewayContext, worker: Worker, sharedParts: readonly string[] = []): SendVerdict {
  const quarantineMs = sharedParts.length === 0 ? 0 : context.promptGuard.find(sharedParts)?.remainingMs ?? 0
  return checkSend(worker, { nowMs: context.timer.now(), drainMs: context.settings.drainMs, quarantineMs })
}

/** Returns the time in milliseconds until one of several workers takes a request; undefined when no such time is known. */
export function getEarliestMs (context: GatewayContext, workers: readonly Worker[]): number | undefined {
  return getEarliestSendMs(workers, { nowMs: context.timer.now(), drainMs: context.settings.drainMs })
}

/** Returns whether a request that has been assigned to a worker may still be written to its connection. */
export function mayStart (context: GatewayContext, worker: Worker): boolean {
  return checkSend(worker, { nowMs: context.timer.now(), drainMs: context.settings.drainMs, hasPlace: true }).rank < SendRank.Held
}

/**
 * Counts the workers that are held back from a choice, and returns them with their reasons for the log, as in `i-1:leaving`; undefined
 * when there are none.
 */
export function recordHeld (context: GatewayContext, service: string, workers: readonly Worker[]): string | undefined {
  const held = workers.flatMap((worker) => {
    const { reason } = checkWorker(context, worker)
    return reason === undefined ? [] : [{ id: worker.entry.id, reason }]
  })
  for (const { reason } of held) context.metrics.count(Count.SendsHeld, { service, reason })
  return held.length === 0 ? undefined : held.map(({ id, reason }) => `${id}:${reason}`).join(' ')
}

/** Records what a worker says of itself in an answer, and tells the sidecars when it leaves. */
export function recordAnswer (context: GatewayContext, worker: Worker, head: ResponseHead): void {
  const { directory: { fleet }, log, random, timer } = context
  if (!recordWord(worker, head, { fleet, log, random, nowMs: timer.now() })) return
  context.sidecars.sendLeaving([{ id: worker.entry.id, bornMs: worker.entry.bornMs }], newsSidecars)
}

/** Records what a worker says of itself in the answer to a call. */
export function recordCallAnswer (context: GatewayContext, worker: Worker, response: JsonResponse): void {
  recordAnswer(context, worker, decodeResponseHead(response.status, response.headers))
}
