/**
 * The command `load`: sends an open loop of seeded requests to an entry and reports latency and goodput.
 */
import { Agent } from 'undici'
import { createSystemTimer } from '../timer/mod.ts'
import type { Timer } from '../timer/mod.ts'
import type { Output } from './check_files.ts'
import { ExitCode } from './_exit_code.ts'
import { parseLoadOptions } from './_load_options.ts'
import type { LoadOptions } from './_load_options.ts'
import { planLoad } from './_load_plan.ts'
import { createLoadReport } from './_load_report.ts'
import type { LoadReport } from './_load_report.ts'
import { sendRequest } from './_load_request.ts'

const progressPeriodMs = 2000

/**
 * Runs load against an entry. Requests start at their planned times, whatever became of earlier ones.
 *
 * @param flags the flags of the command line
 * @param output where the report goes; progress goes to standard error
 * @returns 0 after a run, 1 when a flag is missing or wrong
 *
 * @example
 * ```ts
 * const flags = { url: 'http://127.0.0.1:8080', key: 'k', model: 'm', rate: 5, seconds: 2, seed: 1 }
 * process.exitCode = await load(flags, { out: console.log, err: console.error })
 * ```
 */
export async function runLoad (flags: Record<string, unknown>, output: Output): Promise<ExitCode> {
  const options = parseLoadOptions(flags)
  if (options.err) {
    output.err(`load: ${options.val}`)
    return ExitCode.Failed
  }
  const report = createLoadReport(options.val)
  const timer = createSystemTimer()
  const startMs = timer.now()
  timer.every(progressPeriodMs, () => output.err(report.formatProgress(timer.now() - startMs)))
  await runPlan(options.val, report, timer)
  timer.close()
  for (const line of report.formatSummary()) output.out(line)
  return ExitCode.Ok
}

async function runPlan (options: LoadOptions, report: LoadReport, timer: Timer): Promise<void> {
  const dispatcher = new Agent({ connections: options.maxInFlight, pipelining: 1 })
  const open = new Set<Promise<void>>()
  const startMs = timer.now()
  for (const planned of planLoad(options)) {
    await waitUntil(timer, startMs + planned.atMs)
    if (open.size >= options.maxInFlight) {
      report.recordNotSent()
      continue
    }
    const sent: Promise<void> = sendRequest(planned.prompt, options, dispatcher, timer).then((result) => {
      report.recordResult(result)
      open.delete(sent)
    })
    open.add(sent)
  }
  await Promise.all(open)
  await dispatcher.close()
}

function waitUntil (timer: Timer, dueMs: number): Promise<void> {
  return new Promise((resolve) => { timer.after(Math.max(0, dueMs - timer.now()), resolve) })
}
