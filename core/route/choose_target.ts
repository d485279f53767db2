/**
 * The choice of a service for a request of a route that splits its traffic.
 */
import type { RouteRule } from './_types.ts'

/**
 * Chooses the service of a request by the weights of its route.
 *
 * @param route the route
 * @param die a number from 0 up to but not including 1
 * @returns the name of the service, or undefined when no target has a weight
 *
 * @example
 * ```ts
 * import { chooseTarget } from 'briarloom/core/route'
 *
 * console.assert(chooseTarget({ targets: [{ service: 'a', weight: 1 }, { service: 'b', weight: 1 }] }, 0.7) === 'b')
 * ```
 */
export function chooseTarget (route: Pick<RouteRule, 'targets'>, die: number): string | undefined {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0)
  let left = die * total
  for (const target of route.targets) {
    left -= target.weight
    if (left < 0) return target.service
  }
  return undefined
}
