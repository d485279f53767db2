/**
 * Counts the retries of a model request and the prefills whose result was never decoded.
 */
import { RequestEffectKind, RequestEventKind } from '../core/request/mod.ts'
import { RefusalCode } from '../core/types/mod.ts'
import { Metric } from '../metrics/mod.ts'
import { MessageKind } from '../wire/mod.ts'
import type { AgentReply, RequestEffect, RequestEvent } from '../core/request/mod.ts'
import type { Metrics } from '../metrics/mod.ts'
import type { Prefilled } from '../wire/mod.ts'

/** Counts the attempts of one request. */
export interface AttemptMetrics {
  /** Records an event of the request, the effects of the event and the number of attempts after it. */
  recordEvent (event: RequestEvent, effects: RequestEffect[], attempts: number): void
}

/** Causes of a wasted prefill that are not refusal codes. */
const causeCallerGone = 'caller_gone'
const causeReplaced = 'replaced'
const causeLate = 'late'

function countComputedTokens (msg: Prefilled): number {
  return Math.max(0, msg.promptTokens - msg.cachedTokens)
}

/** Returns the code under which an event ends an attempt; `Unreachable` for events other than a refusal, a failure or a lost caller. */
function getEndCode (event: RequestEvent): string {
  if (event.kind === RequestEventKind.CallerDisconnected) return causeCallerGone
  if (event.kind !== RequestEventKind.Reply) return RefusalCode.Unreachable
  const { msg } = event
  return msg.kind === MessageKind.Refused || msg.kind === MessageKind.Failed ? msg.code : RefusalCode.Unreachable
}

/** Counts the computed tokens of a prefill result that arrived after its attempt had ended; ignores other replies. */
export function countLatePrefill (metrics: Metrics, msg: AgentReply): void {
  if (msg.kind !== MessageKind.Prefilled) return
  const tokens = countComputedTokens(msg)
  if (tokens > 0) metrics.count(Metric.WastedPrefillTokens, tokens, { cause: causeLate })
}

/**
 * Creates the counters of one request.
 */
export function createAttemptMetrics (metrics: Metrics, tier: string): AttemptMetrics {
  let attempt = 1
  /** Prompt tokens that were computed for this attempt and have not led to a decoded token yet. */
  let undecodedTokens = 0

  function countWasted (cause: string): void {
    if (undecodedTokens > 0) metrics.count(Metric.WastedPrefillTokens, undecodedTokens, { cause })
    undecodedTokens = 0
  }

  function onReply (msg: AgentReply): void {
    if (msg.kind === MessageKind.Tokens || msg.kind === MessageKind.Finished) {
      if (msg.attempt === attempt) undecodedTokens = 0
    } else if (msg.kind === MessageKind.Prefilled) {
      const tokens = countComputedTokens(msg)
      if (tokens > 0) metrics.count(Metric.PrefilledTokens, tokens, { tier })
      if (msg.attempt !== attempt) {
        countLatePrefill(metrics, msg)
        return
      }
      countWasted(causeReplaced)
      undecodedTokens = tokens
    }
  }

  return {
    recordEvent (event, effects, attempts) {
      if (event.kind === RequestEventKind.Reply) onReply(event.msg)
      for (const effect of effects) {
        if (effect.kind === RequestEffectKind.Refuse || effect.kind === RequestEffectKind.Abort) countWasted(effect.code)
      }
      if (event.kind === RequestEventKind.CallerDisconnected) countWasted(causeCallerGone)
      if (attempts <= attempt) return
      const code = getEndCode(event)
      countWasted(code)
      metrics.count(Metric.Retries, attempts - attempt, { code })
      attempt = attempts
    }
  }
}
