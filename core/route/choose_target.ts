/**
 * Weighted random choice of the service for a request.
 */
import type { RouteRule } from './_types.ts'

/**
 * Chooses a service at random, in proportion to the weights of the targets of a route.
 *
 * @param route the route
 * @param random a random number from 0 up to, but not including, 1
 * @returns the name of the service; undefined when every weight is 0
 *
 * @example
 * ```ts
 * import { chooseTarget } from 'briarloom/core/route'
 *
 * console.assert(chooseTarget({ targets: [{ service: 'a', weight: 1 }, { service: 'b', weight: 1 }] }, 0.7) === 'b')
 * ```
 */
export function chooseTarget (route: Pick<RouteRule, 'targets'>, random: number): string | undefined {
  const totalWeight = route.targets.reduce((sum, target) => sum + target.weight, 0)
  let remaining = random * totalWeight
  for (const target of route.targets) {
    remaining -= target.weight
    if (remaining < 0) return target.service
  }
  return undefined
}
