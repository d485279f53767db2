/**
 * Measurement of the time between admissions.
 */

/** Weight of the newest sample in the moving average of the interval. */
const newestWeight = 0.2
/** Time in milliseconds without a backlog after which the interval is unknown again. */
const idleMs = 2000

/** Measures the interval between admissions while items wait. */
export interface WaitMeter {
  /** Records the number of admitted items, and whether items still wait after them. */
  observe (admitted: number, hasBacklog: boolean, nowMs: number): void
  /** Returns the expected time in milliseconds between admissions; 0 while it is unknown. */
  intervalMs (): number
}

/** Creates a meter without samples. */
export function createWaitMeter (): WaitMeter {
  let averageMs = 0
  let lastMs = 0
  let hadBacklog = false

  // Only the time during which an item waited shows how fast the backend server accepts work.
  function recordInterval (admitted: number, nowMs: number): void {
    const sampleMs = (nowMs - lastMs) / admitted
    averageMs = averageMs === 0 ? sampleMs : averageMs + newestWeight * (sampleMs - averageMs)
  }

  return {
    observe (admitted, hasBacklog, nowMs) {
      if (!hadBacklog && nowMs - lastMs > idleMs) averageMs = 0
      if (admitted > 0 && hadBacklog) recordInterval(admitted, nowMs)
      if (admitted > 0 || !hadBacklog) lastMs = nowMs
      hadBacklog = hasBacklog
    },
    intervalMs: () => averageMs
  }
}
