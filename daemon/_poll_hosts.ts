/**
 * Polls the platform's host list at a rate that is bounded for the whole fleet.
 */
import type { HostEntry, HostList } from '../source/mod.ts'
import type { Timer } from '../timer/mod.ts'

/** Configures the polling of the host list. */
export interface PollHostsOptions {
  timer: Timer
  hostList: HostList
  /** Returns a random number from 0 up to, but not including, 1, for the jitter. */
  random: () => number
  /** Gets the hosts after each successful read. */
  onHosts: (hosts: HostEntry[]) => void
}

const minPeriodMs = 1000

/** Limit on reads of the host list per second by all processes together; the period of each process follows from it. */
const maxFleetReadsPerS = 500

/**
 * Reads the host list immediately and then periodically, until the result is closed. The period is at least 1 s and grows with the
 * number of hosts; a jitter of 25 % spreads the reads of processes that started together. A failed read is repeated after
 * the same period.
 */
export function pollHosts (options: PollHostsOptions): { close (): void } {
  const { timer, hostList, random } = options
  let isClosed = false
  let hostCount = 0

  function schedule (): void {
    const periodMs = Math.max(minPeriodMs, hostCount * 1000 / maxFleetReadsPerS)
    timer.after(periodMs * (0.75 + random() / 2), read)
  }

  async function read (): Promise<void> {
    const hosts = await hostList.read()
    if (isClosed) return
    if (hosts.ok) {
      hostCount = hosts.val.length
      options.onHosts(hosts.val)
    }
    schedule()
  }

  read()
  return { close () { isClosed = true } }
}
