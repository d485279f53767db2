/**
 * Stops a running daemon on signals.
 */
import type { Daemon } from '../daemon/mod.ts'
import type { Log } from '../log/mod.ts'
import type { Timer } from '../timer/mod.ts'
import { ExitCode } from './_exit_code.ts'

/** Configures `superviseDaemon`. */
export interface SuperviseOptions {
  timer: Timer
  log: Log
  /** Time in milliseconds after the first signal during which further signals have no effect. */
  graceMs: number
  /** Registers `fn` for every signal that asks the process to stop. */
  onSignal (fn: (signal: string) => void): void
}

/**
 * Waits for a signal, then for the end of the work in flight. A further signal after the grace period aborts the work that is left.
 *
 * @param daemon the running daemon
 * @param options the clock, the log, the grace period in milliseconds and the signals
 * @returns 0 after a graceful stop, 1 when work was aborted
 *
 * @example
 * ```ts
 * const code = await superviseDaemon(daemon, { timer, log, graceMs: 30000, onSignal: (fn) => process.on('SIGTERM', fn) })
 * process.exit(code)
 * ```
 */
export function superviseDaemon (daemon: Daemon, options: SuperviseOptions): Promise<ExitCode> {
  const { timer, log, graceMs, onSignal } = options
  let isStopping = false
  let isGraceOver = false

  return new Promise((resolve) => {
    function stopDaemon (signal: string): void {
      isStopping = true
      log.info({ signal, graceMs }, 'stopping: new work is refused, work in flight is finished')
      timer.after(graceMs, () => {
        isGraceOver = true
        log.warn({ graceMs }, 'work is still in flight after the grace period; a signal ends it')
      })
      daemon.stop().then(() => {
        log.info({}, 'stopped')
        resolve(ExitCode.Ok)
      })
    }

    function killDaemon (signal: string): void {
      log.warn({ signal }, 'ending what is in flight')
      daemon.kill().then(() => resolve(ExitCode.Failed))
    }

    onSignal((signal) => {
      if (!isStopping) stopDaemon(signal)
      else if (isGraceOver) killDaemon(signal)
      else log.info({ signal }, 'already stopping; a signal after the grace period ends what is in flight')
    })
  })
}
