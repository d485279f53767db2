/**
 * Tells the prompt guard how the stream of an engine went.
 */
import type { Worker } from '../core/fleet/mod.ts'
import type { PromptGuard } from './_prompt_guard.ts'

/** Observes one stream; an engine that is well into its answer is not crashed by the prompt that it answers. */
export interface StreamObserver {
  /** Records that a chunk of the stream has come. */
  onChunk (nowMs: number): void
  /** Records a complete stream; the end of a close-delimited one may also be that of a crashed engine. */
  onEnd (isCloseDelimited: boolean): void
  /** Records a stream that broke, or ended early; without `hasBroken`, it is not known whether its engine had begun to answer and crashed. */
  onEarlyEnd (hasBroken: boolean): void
}

/** An engine is well into its answer when it has written this many chunks over this time in milliseconds. */
const minSurvivalChunks = 8
const minSurvivalMs = 500

/** Creates the observer of a stream whose prompt has the given shared parts. */
export function observeStream (guard: PromptGuard, worker: Worker, sharedParts: readonly string[]): StreamObserver {
  let chunks = 0
  let firstChunkMs = 0
  let hasSurvived = false

  function recordSurvival (): void {
    if (!hasSurvived && sharedParts.length > 0) guard.recordSurvival(sharedParts)
    hasSurvived = true
  }

  function onEarlyEnd (hasBroken: boolean): void {
    if (hasSurvived || sharedParts.length === 0) return
    if (hasBroken) guard.recordCrash(worker, sharedParts)
    else guard.recordPossibleCrash(worker, sharedParts, { isWhole: false })
  }

  return {
    onChunk (nowMs) {
      chunks++
      if (chunks === 1) firstChunkMs = nowMs
      else if (chunks >= minSurvivalChunks && nowMs - firstChunkMs >= minSurvivalMs) recordSurvival()
    },
    onEnd (isCloseDelimited) {
      if (!isCloseDelimited) recordSurvival()
      else if (!hasSurvived && sharedParts.length > 0) guard.recordPossibleCrash(worker, sharedParts, { isWhole: true })
    },
    onEarlyEnd
  }
}
