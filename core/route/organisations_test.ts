/**
 * Steps for organisations and their keys in the routing rules.
 */
import assert from 'node:assert/strict'
import { Given, Then } from '@cucumber/cucumber'
import fc from 'fast-check'
import { getKeyLabel } from '../keys/mod.ts'
import { compareKeys, createRouteTable, identifyCaller } from './mod.ts'
import type { DataTable } from '@cucumber/cucumber'
import type { OrganisationRule, RouteTable } from './mod.ts'

interface World { tables: RouteTable[] }

const limits = { maxHeaderBytes: 8192, maxBodyBytes: 1000, headerTimeoutMs: 600, idleTimeoutMs: 5000 }

function createTable (version: number, organisations?: readonly OrganisationRule[]): RouteTable {
  return createRouteTable({ version, routes: [], services: [], limits, ...(organisations !== undefined && { organisations }) })
}

function readOrganisations (table: DataTable): OrganisationRule[] {
  return table.hashes().map(({ name = '', keys = '', priority = '' }) => ({
    name, keys: keys.split(', ').filter((key) => key !== ''), ...(priority !== '' && { priority: Number(priority) })
  }))
}

Given('the organisations of the rules', function (this: World, table: DataTable) { this.tables = [createTable(1, readOrganisations(table))] })

Given('version {int} of the organisations of the rules', function (this: World, version: number, table: DataTable) {
  this.tables.push(createTable(version, readOrganisations(table)))
})

Given('rules without organisations', function (this: World) { this.tables = [createTable(1)] })

function nameCaller (table: RouteTable, key: string, allowsAnonymous: boolean): string {
  const credentials = key === '' ? { hasCredentials: false } : key === 'malformed' ? { hasCredentials: true } : { key, hasCredentials: true }
  const caller = identifyCaller(table, { allowsAnonymous }, credentials)
  if (caller.err) return caller.val
  return caller.val.carriesKeys ? caller.val.organisation?.name ?? 'anonymous' : 'not asked for a key'
}

Then('the caller with {string} on a route that serves {string} is {string}', function (this: World, key: string, route: string, result: string) {
  assert.equal(nameCaller(this.tables.at(-1) as RouteTable, key, route === 'anonymous'), result)
})

const keys = ['k-1', 'k-2', 'k-3', 'k-4', 'k-5']
const names = ['north', 'south', 'west']

Then('in {int} random histories of keys each request belongs to the organisation that the version in force says', function (numRuns: number) {
  // A version gives each key to one organisation, or to none.
  const version = fc.tuple(...keys.map(() => fc.option(fc.constantFrom(...names), { nil: undefined })))
  fc.assert(fc.property(fc.array(version, { minLength: 1, maxLength: 12 }), (versions) => {
    let before: RouteTable | undefined
    for (const [index, holders] of versions.entries()) {
      const table = createTable(index + 1, names.map((name) => ({ name, keys: keys.filter((_key, i) => holders[i] === name) })))
      for (const [i, key] of keys.entries()) assert.equal(nameCaller(table, key, index % 2 === 0), holders[i] ?? 'unknown_key')
      for (const name of names) assert.equal(table.getOrganisation(name)?.name, name)
      const changes = compareKeys(before, table)
      const old = before
      const lost = keys.filter((key) => old?.findOrganisation(key) !== undefined && old.findOrganisation(key)?.name !== table.findOrganisation(key)?.name)
      assert.deepEqual(changes.withdrawn.sort(), lost.map((key) => `${old?.findOrganisation(key)?.name}:${getKeyLabel(key)}`).sort())
      before = table
    }
  }), { seed: 42, numRuns })
})

Then('the rules have {int} keys, of which {int} were added, and withdrew {int} from {string}',
  function (this: World, count: number, added: number, withdrawn: number, name: string) {
    const changes = compareKeys(this.tables.at(-2), this.tables.at(-1) as RouteTable)
    assert.equal(`${changes.keys} ${changes.added}`, `${count} ${added}`)
    assert.deepEqual(changes.withdrawn.map((label) => label.split(':')[0]), Array.from({ length: withdrawn }, () => name))
  })

Then('the changes of keys name no key', function (this: World) {
  const text = JSON.stringify(compareKeys(this.tables.at(-2), this.tables.at(-1) as RouteTable))
  for (const organisation of this.tables.flatMap((table) => table.organisations() ?? [])) {
    for (const key of organisation.keys) assert.ok(!text.includes(key), `${text} has ${key}`)
  }
})
