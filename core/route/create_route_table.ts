/**
 * The table that finds the route of a request.
 */
import { createKeyIndex, digestKey } from '../keys/mod.ts'
import type { ClientLimits, OrganisationRule, RouteRule, RoutingRules, ServiceRule } from './_types.ts'

/** Index of the routes and services of one version of the routing rules. */
export interface RouteTable {
  readonly version: number
  readonly limits: ClientLimits
  /** Returns the route of the host with the longest prefix of the path; undefined when none matches. Ignores port and query. */
  findRoute (host: string, path: string): RouteRule | undefined
  /** Returns a service; undefined when there is none of this name. */
  getService (name: string): ServiceRule | undefined
  /** Returns all services. */
  listServices (): ServiceRule[]
  /** Returns the priorities of the routes to a service, each once. */
  listPriorities (service: string): readonly number[]
  /** Returns all organisations; undefined when callers carry no keys. */
  organisations (): readonly OrganisationRule[] | undefined
  /** Returns the organisation that holds a key; undefined when none does. A lookup, whose time does not grow with the number of keys. */
  findOrganisation (key: string): OrganisationRule | undefined
  /** Returns an organisation by its name; undefined when there is none. */
  getOrganisation (name: string): OrganisationRule | undefined
}

/**
 * Creates the route table of one version of the routing rules.
 *
 * @param rules the routing rules
 * @returns the route table
 *
 * @example
 * ```ts
 * import { createRouteTable } from 'briarloom/core/route'
 *
 * const limits = { maxHeaderBytes: 16384, maxBodyBytes: 65536, headerTimeoutMs: 3000, idleTimeoutMs: 15000 }
 * const table = createRouteTable({ version: 1, routes: [], services: [], limits })
 * console.assert(table.findRoute('a.example', '/x/') === undefined)
 * ```
 */
export function createRouteTable (rules: RoutingRules): RouteTable {
  const routesByHost = new Map<string, RouteRule[]>()
  const services = new Map(rules.services.map((rule) => [rule.name, rule]))
  const organisations = rules.organisations ?? []
  const organisationsByName = new Map(organisations.map((rule) => [rule.name, rule]))
  const keys = createKeyIndex(organisations.flatMap((holder) => holder.keys.map((key) => ({ digest: digestKey(key), holder }))))
  for (const route of rules.routes) routesByHost.set(route.host, [...routesByHost.get(route.host) ?? [], route])
  const prioritiesByService = new Map<string, Set<number>>()
  for (const { targets, priority } of rules.routes) {
    for (const { service } of targets) prioritiesByService.set(service, (prioritiesByService.get(service) ?? new Set()).add(priority))
  }
  for (const routes of routesByHost.values()) routes.sort((a, b) => b.prefix.length - a.prefix.length)

  return {
    version: rules.version,
    limits: rules.limits,
    findRoute (host, path) {
      const hostname = host.toLowerCase().replace(/:\d+$/, '')
      const queryStart = path.indexOf('?')
      const pathname = queryStart < 0 ? path : path.slice(0, queryStart)
      return routesByHost.get(hostname)?.find((route) => pathname.startsWith(route.prefix))
    },
    getService: (name) => services.get(name),
    listServices: () => [...services.values()],
    listPriorities: (service) => [...prioritiesByService.get(service) ?? []],
    organisations: () => rules.organisations,
    findOrganisation: keys.find,
    getOrganisation: (name) => organisationsByName.get(name)
  }
}
