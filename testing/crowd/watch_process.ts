/**
 * Watches the memory and the descriptors of another process on this machine.
 */
import { readdirSync, readFileSync, readlinkSync } from 'node:fs'

/** A process that is watched. */
export interface WatchedProcess {
  /** Returns the most memory in MiB that was resident at any time of the life of the process; that last read if it has ended. */
  peakMebibytes (): number
  /** Returns the largest number of sockets and pipes that were open at once, as seen each 20 ms. */
  peakSockets (): number
  stop (): void
}

const sampleMs = 20
const kibibytesPerMebibyte = 1_024

/**
 * Watches a process from now on.
 *
 * @param pid identifier of the process
 * @returns what was seen of it
 *
 * @example
 * ```ts
 * import { watchProcess } from 'briarloom/testing/crowd'
 *
 * const watched = watchProcess(process.pid)
 * console.assert(watched.peakMebibytes() > 0)
 * watched.stop()
 * ```
 */
export function watchProcess (pid: number): WatchedProcess {
  let mebibytes = 0
  let sockets = 0

  function sample (): void {
    try {
      // The kernel keeps the peak itself, so no sample can miss it.
      const peak = /VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))
      mebibytes = Math.max(mebibytes, Number(peak?.[1] ?? 0) / kibibytesPerMebibyte)
      const open = readdirSync(`/proc/${pid}/fd`).filter((fd) => /^(?:socket|pipe):/.test(readlinkSync(`/proc/${pid}/fd/${fd}`)))
      sockets = Math.max(sockets, open.length)
    } catch {
      // The process has ended, or a descriptor was closed while it was looked at.
    }
  }

  const timer = setInterval(sample, sampleMs)
  return {
    peakMebibytes () {
      sample()
      return mebibytes
    },
    peakSockets: () => sockets,
    stop () { clearInterval(timer) }
  }
}
