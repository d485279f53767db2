/**
 * Learns how long one waiting item delays the next.
 */

const smoothing = 0.2
const idleMs = 2000

/** Estimates waits from the intervals between admissions. */
export interface WaitMeter {
  /** Notes admissions, and whether items were left waiting after them. */
  observe (admitted: number, backlog: boolean, nowMs: number): void
  /** Returns the expected time in milliseconds between admissions; 0 while nothing is known. */
  intervalMs (): number
}

/** Creates a meter that knows nothing. */
export function createWaitMeter (): WaitMeter {
  let interval = 0
  let lastMs = 0
  let hadBacklog = false

  // Only time during which something waited tells how fast the backend server takes work.
  function learn (admitted: number, nowMs: number): void {
    const sampleMs = (nowMs - lastMs) / admitted
    interval = interval === 0 ? sampleMs : interval + smoothing * (sampleMs - interval)
  }

  return {
    observe (admitted, backlog, nowMs) {
      if (!hadBacklog && nowMs - lastMs > idleMs) interval = 0
      if (admitted > 0 && hadBacklog) learn(admitted, nowMs)
      if (admitted > 0 || !hadBacklog) lastMs = nowMs
      hadBacklog = backlog
    },
    intervalMs: () => interval
  }
}
