/**
 * Follows the configuration service and the host list.
 */
import type { Configuration } from '../core/configuration/mod.ts'
import type { Log } from '../log/mod.ts'
import type { ConfigService, HostEntry, HostList } from '../platform/mod.ts'
import type { Timer } from '../timer/mod.ts'

/** Configures the follower. */
export interface FollowOptions {
  timer: Timer
  log: Log
  config: Configuration
  service: ConfigService
  hostList: HostList
  onHosts: (hosts: HostEntry[]) => void
}

const watchMs = 5000
const retryMs = 500
const hostsPeriodMs = 1000

/**
 * Starts to follow the platform until it is closed.
 */
export function followPlatform (options: FollowOptions): { close (): void } {
  const { timer, config, service, hostList } = options
  let closed = false

  function pause (): Promise<void> {
    return new Promise((resolve) => { timer.after(retryMs, resolve) })
  }

  async function readRecords (): Promise<boolean> {
    const page = config.revision() === 0
      ? await service.readAll()
      : await service.watch(config.revision(), watchMs)
    if (closed || page.err) return false
    config.apply({ ...page.val, after: config.revision(), complete: config.revision() === 0 })
    return true
  }

  async function followRecords (): Promise<void> {
    for (;;) {
      const isRead = await readRecords()
      if (closed) return
      if (!isRead) await pause()
    }
  }

  async function readHosts (): Promise<void> {
    const hosts = await hostList.read()
    if (!closed && hosts.ok) options.onHosts(hosts.val)
  }

  const polls = timer.every(hostsPeriodMs, readHosts)
  followRecords()
  readHosts()
  return {
    close () {
      closed = true
      polls.cancel()
    }
  }
}
