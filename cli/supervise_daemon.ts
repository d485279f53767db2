/**
 * Takes a daemon from its start to its end.
 */
import type { Daemon } from '../daemon/mod.ts'
import type { Log } from '../log/mod.ts'
import type { Timer } from '../timer/mod.ts'
import { ExitCode } from './_exit_code.ts'

/** Gives a daemon its clock, its log and its signals. */
export interface SuperviseOptions {
  timer: Timer
  log: Log
  /** Time in milliseconds for which a second signal is not obeyed. */
  graceMs: number
  /** Calls `fn` on each signal that asks the process to end. */
  onSignal (fn: (signal: string) => void): void
}

/**
 * Waits for a signal, then for the end of what is in flight. A second signal after the grace period ends what is left.
 *
 * @param daemon the running daemon
 * @param options the clock, the log, the grace period in milliseconds and the signals
 * @returns 0 after a graceful stop, 1 when work was ended
 *
 * @example
 * ```ts
 * const code = await supervise(daemon, { timer, log, graceMs: 30000, onSignal: (fn) => process.on('SIGTERM', fn) })
 * process.exit(code)
 * ```
 */
export function superviseDaemon (daemon: Daemon, options: SuperviseOptions): Promise<ExitCode> {
  const { timer, log, graceMs, onSignal } = options
  let stopping = false
  let graceOver = false

  return new Promise((resolve) => {
    function stop (signal: string): void {
      stopping = true
      log.info({ signal, graceMs }, 'stopping: new work is refused, work in flight is finished')
      timer.after(graceMs, () => {
        graceOver = true
        log.warn({ graceMs }, 'work is still in flight after the grace period; a signal ends it')
      })
      daemon.stop().then(() => {
        log.info({}, 'stopped')
        resolve(ExitCode.Ok)
      })
    }

    function kill (signal: string): void {
      log.warn({ signal }, 'ending what is in flight')
      daemon.kill().then(() => resolve(ExitCode.Failed))
    }

    onSignal((signal) => {
      if (!stopping) stop(signal)
      else if (graceOver) kill(signal)
      else log.info({ signal }, 'already stopping; a signal after the grace period ends what is in flight')
    })
  })
}
