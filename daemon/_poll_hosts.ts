/**
 * Reads the platform's host list at a pace that the whole fleet can afford.
 */
import type { HostEntry, HostList } from '../source/mod.ts'
import type { Timer } from '../timer/mod.ts'

/** Configures the reader. */
export interface PollHostsOptions {
  timer: Timer
  hostList: HostList
  random: () => number
  onHosts: (hosts: HostEntry[]) => void
}

const shortestPeriodMs = 1000

/** Reads of the host list each second that all processes make together. */
const fleetReadsPerS = 500

/**
 * Starts to read the host list until it is closed; the period grows with the number of hosts.
 */
export function pollHosts (options: PollHostsOptions): { close (): void } {
  const { timer, hostList, random } = options
  let closed = false
  let hostCount = 0

  function schedule (): void {
    const periodMs = Math.max(shortestPeriodMs, hostCount * 1000 / fleetReadsPerS)
    timer.after(periodMs * (0.75 + random() / 2), read)
  }

  async function read (): Promise<void> {
    const hosts = await hostList.read()
    if (closed) return
    if (hosts.ok) {
      hostCount = hosts.val.length
      options.onHosts(hosts.val)
    }
    schedule()
  }

  read()
  return { close () { closed = true } }
}
