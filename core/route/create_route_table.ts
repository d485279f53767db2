/**
 * The table that finds the route of a request.
 */
import type { ClientLimits, RouteRule, RoutingRules, ServiceRule } from './_types.ts'

/** Finds routes and services in one version of the rules. */
export interface RouteTable {
  readonly version: number
  readonly limits: ClientLimits
  /** Returns the route with the longest prefix that begins the path, among those of the host. */
  findRoute (host: string, path: string): RouteRule | undefined
  getService (name: string): ServiceRule | undefined
  listServices (): ServiceRule[]
}

/**
 * Creates the table of one version of the rules.
 *
 * @param rules the rules
 * @returns the table
 *
 * @example
 * ```ts
 * import { createRouteTable } from 'briarloom/core/route'
 *
 * const limits = { maxHeaderBytes: 16384, maxBodyBytes: 65536, headerTimeoutMs: 3000, idleTimeoutMs: 15000 }
 * const table = createRouteTable({ version: 1, routes: [], services: [], limits })
 * console.assert(table.match('a.example', '/x/') === undefined)
 * ```
 */
export function createRouteTable (rules: RoutingRules): RouteTable {
  const byHost = new Map<string, RouteRule[]>()
  const services = new Map(rules.services.map((rule) => [rule.name, rule]))
  for (const route of rules.routes) byHost.set(route.host, [...byHost.get(route.host) ?? [], route])
  for (const routes of byHost.values()) routes.sort((a, b) => b.prefix.length - a.prefix.length)

  return {
    version: rules.version,
    limits: rules.limits,
    findRoute (host, path) {
      const name = host.toLowerCase().replace(/:\d+$/, '')
      const end = path.indexOf('?')
      const bare = end < 0 ? path : path.slice(0, end)
      return byHost.get(name)?.find((route) => bare.startsWith(route.prefix))
    },
    getService: (name) => services.get(name),
    listServices: () => [...services.values()]
  }
}
