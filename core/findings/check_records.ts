/**
 * The check of configuration records before they are published.
 */
import { RecordKind } from '../records/mod.ts'
import { Role } from '../types/mod.ts'
import { createFindingList } from './_collect.ts'
import type { FindingList } from './_collect.ts'
import type { Finding } from './_types.ts'
import type { BackendRecord, CallerRecord, ConfigRecord, RecordOf, ServiceRecord } from '../records/mod.ts'

/**
 * Finds what in a complete set of records cannot work, has no effect, or contradicts another record. References to records that do not
 * exist are left to the loader.
 *
 * @param records all records of a deployment
 * @returns the findings, by kind of record
 *
 * @example
 * ```ts
 * import { checkRecords } from 'briarloom/core/findings'
 *
 * console.assert(checkRecords([]).length === 0)
 * ```
 */
export function checkRecords (records: readonly ConfigRecord[]): Finding[] {
  const list = createFindingList()
  const ofKind = <K extends RecordKind>(kind: K): Array<RecordOf<K>> => records.filter((record): record is RecordOf<K> => record.kind === kind)
  const callers = ofKind(RecordKind.Caller)
  const backends = ofKind(RecordKind.Backend)
  checkCallers(list, callers)
  for (const tier of ofKind(RecordKind.Tier)) {
    list.warn(tier.models.length === 0, `tier/${tier.name}`, 'names no model, so its callers can only call services')
    list.warn(callers.length > 0 && !callers.some((caller) => caller.tier === tier.name), `tier/${tier.name}`, 'no caller has this tier')
  }
  for (const model of ofKind(RecordKind.Model)) {
    const subject = `model/${model.name}`
    list.error(model.versions.every(({ weight }) => weight === 0), subject, 'the weights of its versions sum to nothing: requests without a version are refused')
    checkWeights(list, subject, backends.filter(({ role, serves }) => role !== Role.Service && serves === model.name), backends)
  }
  for (const service of ofKind(RecordKind.Service)) {
    const subject = `service/${service.name}`
    checkCalls(list, subject, service)
    checkWeights(list, subject, backends.filter(({ role, serves }) => role === Role.Service && serves === service.name), backends)
  }
  return list.findings
}

function checkCallers (list: FindingList, callers: readonly CallerRecord[]): void {
  const holders = new Map<string, string>()
  for (const { name, keyHash, requestsPerS, tokensPerS, concurrency } of callers) {
    const subject = `caller/${name}`
    const holder = holders.get(keyHash)
    list.error(holder !== undefined, subject, `has the key of caller/${holder}`)
    holders.set(keyHash, holder ?? name)
    list.error(requestsPerS === 0, subject, 'may send no request: requestsPerS is 0')
    list.error(tokensPerS === 0, subject, 'may send no model request: tokensPerS is 0')
    list.error(concurrency === 0, subject, 'may have no request in flight: concurrency is 0')
  }
}

/** Checks the backend servers of a model or a service; a set of records without any is not a whole deployment. */
function checkWeights (list: FindingList, subject: string, serving: readonly BackendRecord[], all: readonly BackendRecord[]): void {
  if (all.length === 0) return
  list.warn(serving.length === 0, subject, 'no backend server serves it at its start')
  list.error(serving.length > 0 && serving.every(({ weight }) => weight === 0), subject, 'all its backend servers drain: their weights sum to nothing')
}

function checkCalls (list: FindingList, subject: string, { calls }: ServiceRecord): void {
  for (const [index, call] of calls.entries()) {
    const earlier = calls.slice(0, index).find(({ method, path }) => (method === '*' || method === call.method) && call.path.startsWith(path))
    if (earlier === undefined) continue
    list.warn(true, subject, `the rule for ${call.method} ${call.path} can never match: that for ${earlier.method} ${earlier.path} comes first`)
  }
}
