/**
 * The comparison of routing rules with those in force.
 */
import { compareNamed, createFindingList, listChangedFields } from './_collect.ts'
import { ChangeKind } from './_types.ts'
import type { Difference, Finding } from './_types.ts'
import type { AllowanceRule, ClientLimits, OrganisationRule, RouteRule, RoutingRules, ServiceRule } from '../route/mod.ts'

/**
 * Finds why rules would not take the place of those in force.
 *
 * @param before the rules in force
 * @param after the next rules
 * @returns an error when the version is not higher
 *
 * @example
 * ```ts
 * import { checkSuccession } from 'briarloom/core/findings'
 *
 * const limits = { maxHeaderBytes: 16384, maxBodyBytes: 65536, headerTimeoutMs: 3000, idleTimeoutMs: 15000 }
 * const rules = { version: 1, routes: [], services: [], limits }
 * console.assert(checkSuccession(rules, rules).length === 1)
 * ```
 */
export function checkSuccession (before: RoutingRules, after: RoutingRules): Finding[] {
  const { findings, error } = createFindingList()
  error(after.version <= before.version, 'version', `${after.version} is not higher than ${before.version}, which is in force: processes ignore it`)
  return findings
}

/**
 * Lists what changes for callers and backend servers when rules take the place of those in force.
 *
 * @param before the rules in force
 * @param after the next rules
 * @returns the differences; empty when nothing changes but the version
 *
 * @example
 * ```ts
 * import { compareRoutingRules } from 'briarloom/core/findings'
 *
 * const limits = { maxHeaderBytes: 16384, maxBodyBytes: 65536, headerTimeoutMs: 3000, idleTimeoutMs: 15000 }
 * const rules = { version: 1, routes: [], services: [], limits }
 * console.assert(compareRoutingRules(rules, { ...rules, version: 2 }).length === 0)
 * ```
 */
export function compareRoutingRules (before: RoutingRules, after: RoutingRules): Difference[] {
  return [
    ...compareNamed(before.routes, after.routes, routeWords),
    ...compareNamed(before.services, after.services, serviceWords),
    ...compareOrganisations(before, after),
    ...listChangedFields<ClientLimits>(before.limits, after.limits, limitWords).map((text) => ({ kind: ChangeKind.Changed, subject: 'limits', text }))
  ]
}

const routeWords = {
  subject: (route: RouteRule) => `route "${route.name}"`,
  added: (route: RouteRule) => `${formatPlace(route)} goes to ${formatTargets(route)}`,
  removed: (route: RouteRule) => `callers of ${formatPlace(route)} get 404, unless a shorter prefix matches`,
  changed: (before: RouteRule, after: RouteRule) => [
    ...(formatPlace(before) === formatPlace(after) ? [] : [`callers of ${formatPlace(before)} have to call ${formatPlace(after)}`]),
    ...(formatTargets(before) === formatTargets(after) ? [] : [`goes to ${formatTargets(after)} in place of ${formatTargets(before)}`]),
    ...(before.allowsAnonymous && !after.allowsAnonymous ? ['callers without a key get 401'] : []),
    ...(!before.allowsAnonymous && after.allowsAnonymous ? ['callers need no key any more'] : []),
    ...listChangedFields<RouteRule>(before, after, {
      kind: 'kind',
      timeoutMs: 'timeout in ms',
      targetLatencyMs: 'target latency in ms',
      longestPauseMs: 'longest pause in ms',
      priority: 'priority',
      maxAttempts: 'attempts at most',
      mayResume: 'may resume'
    })
  ]
}

const serviceWords = {
  subject: (service: ServiceRule) => `service "${service.name}"`,
  added: () => 'its workers may get requests',
  removed: () => 'its workers get no more requests',
  changed: (before: ServiceRule, after: ServiceRule) => listChangedFields<ServiceRule>(before, after, { maxConnections: 'connections to a worker at most', engine: 'engine' })
}

const limitWords = {
  maxHeaderBytes: 'longest head in bytes (more is refused with 431)',
  maxBodyBytes: 'longest body in bytes (more is refused with 413)',
  headerTimeoutMs: 'time for a head in ms',
  idleTimeoutMs: 'time after which idle connections are closed in ms'
}

const organisationWords = {
  subject: (organisation: OrganisationRule) => `organisation "${organisation.name}"`,
  added: ({ keys, allowance }: OrganisationRule) => `may call with ${countKeys(keys.length)}, ${formatAllowance(allowance)}`,
  removed: () => 'all its callers get 401',
  changed: (before: OrganisationRule, after: OrganisationRule) => [
    ...compareKeys(before.keys, after.keys),
    ...(formatAllowance(before.allowance) === formatAllowance(after.allowance)
      ? []
      : [`allowance: ${formatAllowance(before.allowance)} becomes ${formatAllowance(after.allowance)}`]),
    ...listChangedFields<OrganisationRule>(before, after, { priority: 'priority' })
  ]
}

function compareOrganisations ({ organisations: before }: RoutingRules, { organisations: after }: RoutingRules): Difference[] {
  const subject = 'organisations'
  if (before === undefined && after !== undefined) return [{ kind: ChangeKind.Added, subject, text: 'callers need a key from now on, and get 401 without one' }]
  if (before !== undefined && after === undefined) return [{ kind: ChangeKind.Removed, subject, text: 'callers need no key any more, and nothing limits them' }]
  return compareNamed(before ?? [], after ?? [], organisationWords)
}

function compareKeys (before: readonly string[], after: readonly string[]): string[] {
  const withdrawn = before.filter((key) => !after.includes(key)).length
  const added = after.filter((key) => !before.includes(key)).length
  const left = after.length - added
  return [
    ...(withdrawn === 0 ? [] : [`${countKeys(withdrawn)} withdrawn: callers who use ${withdrawn === 1 ? 'it' : 'them'} get 401; ${left} of the old keys left`]),
    ...(added === 0 ? [] : [`${countKeys(added)} added`])
  ]
}

function countKeys (count: number): string { return `${count} key${count === 1 ? '' : 's'}` }

function formatAllowance (allowance: AllowanceRule | undefined): string {
  if (allowance === undefined) return 'no limit'
  const { perS, burst, unit, plainTokens } = allowance
  return `${perS} ${unit} a second and a burst of ${burst}, ${plainTokens} for a request without counts`
}

function formatPlace ({ host, prefix }: RouteRule): string { return `${host}${prefix}` }

function formatTargets ({ targets }: RouteRule): string {
  if (targets.length === 1) return `service "${targets[0]?.service}"`
  return targets.length === 0 ? 'no service' : targets.map(({ service, weight }) => `"${service}" (${weight})`).join(', ')
}
