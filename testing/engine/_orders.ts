/**
 * The state of the engine that orders change.
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

/** Holds what the engine serves. */
export interface ServingState {
  /** Answers `POST /v1/orders`. */
  applyOrder (call: HttpCall, body: OrderBody): void
  describe (): Record<string, unknown>
  /** Returns why work is refused, or undefined when it is served. */
  findRefusal (role: EngineRole, model: string, version: string): string | undefined
}

/** Creates the state; `dropAll` ends the work of weights that are replaced. */
export function createServingState (ctx: EngineContext, dropAll: () => void): ServingState {
  const { options } = ctx
  const served = { role: options.role, model: options.model, version: options.version, adapter: options.adapter }
  let fence = 0
  let loads = 0

  function describe (): Record<string, unknown> {
    return {
      ...served,
      fence: options.fencing ? fence : 0,
      loading: loads > 0,
      tokens_per_piece: options.tokensPerPiece
    }
  }

  function applyOrder (call: HttpCall, body: OrderBody): void {
    if (options.fencing && body.fence < fence) {
      ctx.counters.orders_refused += 1
      return call.reply(409, { error: 'fenced', fence })
    }
    fence = Math.max(fence, body.fence)
    const newWeights = body.model !== served.model || body.version !== served.version ||
      body.adapter !== served.adapter
    served.role = body.role
    served.model = body.model
    served.version = body.version
    served.adapter = body.adapter
    if (newWeights) load()
    call.reply(200, describe())
  }

  function load (): void {
    dropAll()
    ctx.cache.clear()
    loads += 1
    ctx.timer.after(scaleMs(ctx, options.weightLoadMs), () => { loads -= 1 })
  }

  function findRefusal (role: EngineRole, model: string, version: string): string | undefined {
    if (loads > 0) return 'weights are being loaded'
    if (role !== served.role) return `role "${role}" is not served`
    if (model !== served.model) return `model "${model}" is not served`
    if (version !== served.version) return `version "${version}" is not served`
    return undefined
  }

  return { applyOrder, describe, findRefusal }
}
