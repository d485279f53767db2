/**
 * The decision whether a decode engine may run a prefill beside its streams.
 */

/** Time in milliseconds between two events of a stream while no prefill runs, at an engine with ten streams. */
const eventIntervalMs = 80
/** Share of the longest pause for which a prefill may delay the streams of its engine; the rest is for the path to the client. */
const prefillPauseShare = 0.93

/**
 * Tells whether the streams of a decode engine keep the longest pause of their route while the engine runs a prefill.
 *
 * The load that it answers: in a burst, prompts queue at the few prefill engines, and each prompt that a decode engine runs instead
 * stops all streams of that engine at once. One prompt that is too long makes a whole engine late.
 *
 * @param prefillMs the time in milliseconds that the prefill takes at the decode engine
 * @param longestPauseMs the longest pause in milliseconds between two events of a stream
 * @returns true when the streams keep the pause
 *
 * @example
 * ```ts
 * import { canPrefillWithinPause } from 'briarloom/core/prefill'
 *
 * console.assert(canPrefillWithinPause(100, 300) && !canPrefillWithinPause(400, 300))
 * ```
 */
export function canPrefillWithinPause (prefillMs: number, longestPauseMs: number): boolean {
  return prefillMs + eventIntervalMs < prefillPauseShare * longestPauseMs
}
