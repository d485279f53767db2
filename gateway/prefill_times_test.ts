/**
 * Steps for the times that engines are expected to take for a prompt.
 */
import assert from 'node:assert/strict'
import { Then } from '@cucumber/cucumber'
import { createFleet, Stage, WorkerState } from '../core/fleet/mod.ts'
import { createManualTimer } from '../timer/mod.ts'
import { createLoadsAlone } from './_loads_alone_test.ts'
import { estimateLeftMs, estimatePrefillAtDecodeMs, recordPrefillAtDecode } from './_prefill_times.ts'
import type { Worker } from '../core/fleet/mod.ts'
import type { ClientRequest, GatewayContext } from './_types.ts'

const nowMs = 10_000

function createContext (): { context: GatewayContext, engines: Worker[] } {
  const fleet = createFleet()
  for (const id of ['d1', 'd2']) {
    fleet.upsert({ id, service: 'llm', address: '10.0.0.1:80', zone: 'z', slots: 64, state: WorkerState.Ready, softwareVersion: 'v1', stage: Stage.Decode, bornMs: 1 }, 0)
  }
  const timer = createManualTimer({ startMs: nowMs })
  const context = { timer, workerLoads: createLoadsAlone(timer), directory: { fleet }, roundTripMs: () => 1 } as unknown as GatewayContext
  return { context, engines: fleet.all() }
}

function createRequest (promptTokens: number): ClientRequest {
  return { head: { promptTokens }, service: { name: 'llm' } } as unknown as ClientRequest
}

Then('for an engine that takes {float} ms a token and had {int} prompts of {int} tokens {int} ms ago, {int} ms more are waited',
  function (msPerToken: number, waitingRequests: number, tokens: number, ageMs: number, expectedMs: number) {
    const { context, engines: [engine] } = createContext()
    const worker = engine as Worker
    worker.prefillMsPerToken = msPerToken
    worker.typicalPromptTokens = tokens
    worker.capacity = { receivedAtMs: nowMs - ageMs, freeTokens: 0, isPrefill: true, waitingRequests, gateways: 1 }
    assert.equal(Math.round(estimateLeftMs(context, createRequest(1), worker)), expectedMs)
  })

Then('a prompt of {int} tokens is expected to take {int} ms at a decode engine of which nothing is known, and {int} ms at one that took {float} ms a token',
  function (tokens: number, assumedMs: number, measuredMs: number, msPerToken: number) {
    const { context, engines: [unknown, known] } = createContext()
    const request = createRequest(tokens)
    recordPrefillAtDecode(context, request, known as Worker, msPerToken * tokens + 1)
    assert.equal(Math.round(estimatePrefillAtDecodeMs(context, request, unknown as Worker)), assumedMs)
    assert.equal(Math.round(estimatePrefillAtDecodeMs(context, request, known as Worker)), measuredMs)
  })
