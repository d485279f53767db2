/**
 * The sum over all processes of what workers still have to do, as an exchange point keeps it.
 */
import type { LoadEntry } from './_types.ts'

/** What one process has at its workers; later reports replace earlier ones. */
export interface LoadReportData {
  /** Name of the process. */
  name: string
  /** Number of this run of the process; a later run has a higher one. */
  incarnation: number
  /** Counter that grows with each report of a run. */
  seq: number
  loads: LoadEntry[]
}

/** Keeps the newest report of each process. */
export interface LoadSums {
  /** Takes a report; false when it is late, a repetition, or from an earlier run of the process. */
  add (report: LoadReportData, nowMs: number): boolean
  /** Sums up what all processes but one have at the workers. */
  sumOthers (name: string, nowMs: number): LoadEntry[]
  /** Returns the mean age in milliseconds of the reports of all processes but one; 0 when there is none. */
  meanAgeMs (name: string, nowMs: number): number
  /** Returns the number of processes whose reports count. */
  members (nowMs: number): number
}

/** Configures the sums. */
export interface LoadSumsOptions {
  /** Time in milliseconds after which the report of a process that is silent no longer counts; 1,500 by default. */
  maxAgeMs?: number
  /** Highest number of processes; those beyond it are not counted; 2,048 by default. */
  maxMembers?: number
}

/** Lowest slowness that counts. */
const minSlowness = 0.001

interface Member { report: LoadReportData, atMs: number }

/**
 * Creates empty sums. A report states all that a process has at workers, so one that is lost, comes twice or late changes nothing that the
 * next one does not mend; a process that ends is forgotten after its requests have ended too.
 *
 * @param options the bounds
 * @returns the sums
 *
 * @example
 * ```ts
 * import { createLoadSums } from 'briarloom/core/cost'
 *
 * const sums = createLoadSums()
 * sums.add({ name: 'a', incarnation: 1, seq: 1, loads: [{ worker: 'w', requests: 2, workMs: 160, slowness: 1, samples: 4 }] }, 0)
 * console.assert(sums.sumOthers('b', 10)[0]?.requests === 2 && sums.sumOthers('a', 10).length === 0)
 * ```
 */
export function createLoadSums (options: LoadSumsOptions = {}): LoadSums {
  const { maxAgeMs = 1_500, maxMembers = 2_048 } = options
  const members = new Map<string, Member>()

  function forget (nowMs: number): void {
    for (const [name, { atMs }] of members) if (nowMs - atMs > maxAgeMs) members.delete(name)
  }

  return {
    add (report, nowMs) {
      const known = members.get(report.name)?.report
      const isOld = known !== undefined &&
        (report.incarnation < known.incarnation || (report.incarnation === known.incarnation && report.seq <= known.seq))
      if (isOld) return false
      forget(nowMs)
      if (known === undefined && members.size >= maxMembers) return false
      members.set(report.name, { report, atMs: nowMs })
      return true
    },
    sumOthers (name, nowMs) {
      forget(nowMs)
      const sums = new Map<string, LoadEntry & { logs: number }>()
      for (const [member, { report }] of members) {
        if (member === name) continue
        for (const { worker, requests, workMs, slowness, samples } of report.loads) {
          const sum = sums.get(worker) ?? { worker, requests: 0, workMs: 0, slowness: 1, samples: 0, logs: 0 }
          sum.requests += requests
          sum.workMs += workMs
          sum.samples += samples
          sum.logs += samples * Math.log(Math.max(minSlowness, slowness))
          sums.set(worker, sum)
        }
      }
      return [...sums.values()].map(({ logs, ...sum }) => ({ ...sum, slowness: sum.samples > 0 ? Math.exp(logs / sum.samples) : 1 }))
    },
    meanAgeMs (name, nowMs) {
      const ages = [...members].filter(([member]) => member !== name).map(([, { atMs }]) => nowMs - atMs)
      return ages.length === 0 ? 0 : ages.reduce((sum, ageMs) => sum + ageMs, 0) / ages.length
    },
    members (nowMs) {
      forget(nowMs)
      return members.size
    }
  }
}
