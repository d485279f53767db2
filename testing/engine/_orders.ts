/**
 * What the engine serves (role, model, version and adapter), which orders change.
 */
import type { HttpCall } from '../http/mod.ts'
import { scaleMs } from './_context.ts'
import type { EngineContext } from './_context.ts'
import type { EngineRole } from './_options.ts'

/** Body of `POST /v1/orders`. */
export interface OrderBody {
  fence: number
  role: EngineRole
  model: string
  version: string
  adapter: string
}

/** Holds what the engine serves and applies orders to it. */
export interface ServingState {
  /** Responds to `POST /v1/orders`: applies the order, or refuses it with 409 when its fencing number is lower than the highest one. */
  applyOrder (call: HttpCall, body: OrderBody): void
  /** Returns the body of `GET /v1/state`. */
  describe (): Record<string, unknown>
  /** Returns the reason why work is refused, or undefined when the engine serves it. */
  findRefusal (role: EngineRole, model: string, version: string): string | undefined
}

/** Creates the state from the options; `dropAll` is called to end all work before other weights are loaded. */
export function createServingState (ctx: EngineContext, dropAll: () => void): ServingState {
  const { options } = ctx
  const served = { role: options.role, model: options.model, version: options.version, adapter: options.adapter }
  let fence = 0
  let runningLoads = 0

  function describe (): Record<string, unknown> {
    return {
      ...served,
      fence: options.fencing ? fence : 0,
      loading: runningLoads > 0,
      tokens_per_piece: options.tokensPerPiece
    }
  }

  function applyOrder (call: HttpCall, body: OrderBody): void {
    if (options.fencing && body.fence < fence) {
      ctx.counters.orders_refused += 1
      return call.reply(409, { error: 'fenced', fence })
    }
    fence = Math.max(fence, body.fence)
    const hasOtherWeights = body.model !== served.model || body.version !== served.version ||
      body.adapter !== served.adapter
    served.role = body.role
    served.model = body.model
    served.version = body.version
    served.adapter = body.adapter
    if (hasOtherWeights) loadWeights()
    call.reply(200, describe())
  }

  function loadWeights (): void {
    dropAll()
    ctx.cache.clear()
    runningLoads += 1
    ctx.timer.after(scaleMs(ctx, options.weightLoadMs), () => { runningLoads -= 1 })
  }

  function findRefusal (role: EngineRole, model: string, version: string): string | undefined {
    if (runningLoads > 0) return 'weights are being loaded'
    if (role !== served.role) return `role "${role}" is not served`
    if (model !== served.model) return `model "${model}" is not served`
    if (version !== served.version) return `version "${version}" is not served`
    return undefined
  }

  return { applyOrder, describe, findRefusal }
}
