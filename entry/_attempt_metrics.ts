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

/** Follows the attempts of one request. */
export interface AttemptMetrics {
  /** Takes an event, the effects it had and the number of attempts after it. */
  recordEvent (event: RequestEvent, effects: RequestEffect[], attempts: number): void
}

/** Causes of a wasted prefill beside the codes of refusals. */
const callerGone = 'caller_gone'
const replaced = 'replaced'
const late = 'late'

function computedTokens (msg: Prefilled): number {
  return Math.max(0, msg.promptTokens - msg.cachedTokens)
}

/** Tells under which code an event ends an attempt. */
function codeOf (event: RequestEvent): string {
  if (event.kind === RequestEventKind.CallerDisconnected) return callerGone
  if (event.kind !== RequestEventKind.Reply) return RefusalCode.Unreachable
  const { msg } = event
  return msg.kind === MessageKind.Refused || msg.kind === MessageKind.Failed ? msg.code : RefusalCode.Unreachable
}

/** Counts a prefill result that came after its request had ended. */
export function countLatePrefill (metrics: Metrics, msg: AgentReply): void {
  if (msg.kind !== MessageKind.Prefilled) return
  const tokens = computedTokens(msg)
  if (tokens > 0) metrics.count(Metric.WastedPrefillTokens, tokens, { cause: late })
}

/**
 * Creates the account of one request.
 */
export function createAttemptMetrics (metrics: Metrics, tier: string): AttemptMetrics {
  let attempt = 1
  /** Prompt tokens that were computed for this attempt and of which no decode is known. */
  let undecoded = 0

  function waste (cause: string): void {
    if (undecoded > 0) metrics.count(Metric.WastedPrefillTokens, undecoded, { cause })
    undecoded = 0
  }

  function onReply (msg: AgentReply): void {
    if (msg.kind === MessageKind.Tokens || msg.kind === MessageKind.Finished) {
      if (msg.attempt === attempt) undecoded = 0
    } else if (msg.kind === MessageKind.Prefilled) {
      const tokens = computedTokens(msg)
      if (tokens > 0) metrics.count(Metric.PrefilledTokens, tokens, { tier })
      if (msg.attempt !== attempt) {
        countLatePrefill(metrics, msg)
        return
      }
      waste(replaced)
      undecoded = tokens
    }
  }

  return {
    recordEvent (event, effects, attempts) {
      if (event.kind === RequestEventKind.Reply) onReply(event.msg)
      for (const effect of effects) {
        if (effect.kind === RequestEffectKind.Refuse || effect.kind === RequestEffectKind.Abort) waste(effect.code)
      }
      if (event.kind === RequestEventKind.CallerDisconnected) waste(callerGone)
      if (attempts <= attempt) return
      const code = codeOf(event)
      waste(code)
      metrics.count(Metric.Retries, attempts - attempt, { code })
      attempt = attempts
    }
  }
}
