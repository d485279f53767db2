/**
 * Steps for the lease table.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createLeaseTable } from './mod.ts'
import type { LeaseTable } from './mod.ts'

interface World {
  leases: LeaseTable
}

Given('a lease table of {int} ms with leases of {string} and {string} at {int} ms',
  function (this: World, leaseMs: number, first: string, second: string, nowMs: number) {
    this.leases = createLeaseTable({ leaseMs })
    this.leases.open(first, nowMs)
    this.leases.open(second, nowMs)
  })

When('the lease of {string} is renewed at {int} ms', function (this: World, owner: string, nowMs: number) {
  assert.equal(this.leases.renew(owner, nowMs), true)
})

When('the lease table expires all leases', function (this: World) {
  assert.equal(this.leases.expireAll().length, 2)
})

Then('the lease table expires {string} at {int} ms', function (this: World, owner: string, nowMs: number) {
  assert.deepEqual(this.leases.removeExpired(nowMs), [owner])
})

Then('the lease of {string} cannot be renewed at {int} ms', function (this: World, owner: string, nowMs: number) {
  assert.equal(this.leases.renew(owner, nowMs), false)
})
