/**
 * Steps for several gateways whose workers turn requests away in turns.
 */
import assert from 'node:assert/strict'
import { After, When, Then } from '@cucumber/cucumber'
import { send, sleep } from './gateway_test.ts'
import { startSite } from '../testing/fleuve/mod.ts'
import type { Site } from '../testing/fleuve/mod.ts'

interface LoadResult {
  sent: number
  served: number
  refused: number
  longestMs: number
}

interface World {
  log (text: string): void
  gatewaySite: Site
  /** Gateways beside that of the site, at the same store. */
  moreSites?: Site[]
  load: LoadResult
}

const onTheWayMs = 500
const settleMs = 300
const loadTimeoutMs = 30_000

After(async function (this: World) {
  for (const site of this.moreSites ?? []) await site.close()
})

When('{int} gateways get {int} requests a second each for {int} s, while half of their workers turn requests away in turns of {int} ms',
  { timeout: loadTimeoutMs }, async function (this: World, gateways: number, perS: number, seconds: number, turnMs: number) {
    const sites = [this.gatewaySite]
    const { storeAddress } = this.gatewaySite.settings
    for (let i = 1; i < gateways; i++) sites.push(await startSite({ settings: { storeAddress, machine: `edge-${i + 1}` } }))
    this.moreSites = sites.slice(1)
    await sleep(settleMs)
    const workers = [...this.gatewaySite.workers.values()]
    const startMs = performance.now()
    const endMs = startMs + seconds * 1000
    let turn = -1
    const turns = setInterval(() => {
      const next = Math.floor((performance.now() - startMs) / turnMs)
      if (next === turn) return
      turn = next
      const turnEndMs = startMs + (turn + 1) * turnMs
      const leftS = (): string => (Math.max(1, turnEndMs - performance.now()) / 1000).toFixed(3)
      for (const [i, worker] of workers.entries()) worker.setRetryAfter(i % 2 === turn % 2 ? leftS : undefined)
    }, 10)
    const result: LoadResult = { sent: 0, served: 0, refused: 0, longestMs: 0 }
    const pending: Array<Promise<void>> = []
    const request = async (site: Site, line: string): Promise<void> => {
      const sentMs = performance.now()
      const response = await send(site, line, { headers: { 'X-Origin': site.settings.machine } })
      if (response.status === 200) result.served++
      else if (response.status === 503) result.refused++
      result.longestMs = Math.max(result.longestMs, performance.now() - sentMs)
    }
    while (performance.now() < endMs) {
      for (const site of sites) pending.push(request(site, ++result.sent % 2 === 0 ? 'GET /safe/x' : 'POST /unsafe/x'))
      await sleep(1000 / perS)
    }
    await Promise.all(pending)
    clearInterval(turns)
    this.load = result
  })

Then('at least {int} of {int} of the requests at these gateways are served, none takes longer than {int} ms, and no gateway sends more than {int} in a time in which a worker wants none',
  function (this: World, least: number, of: number, longestMs: number, most: number) {
    const { sent, served, refused } = this.load
    let mostWithin = 0
    let turnedAway = 0
    for (const worker of this.gatewaySite.workers.values()) {
      for (const { atMs, text, origin } of worker.listTurnedAway()) {
        turnedAway++
        const within = worker.listRequests().filter(({ receivedMs, headers }) => headers['x-origin'] === origin &&
          receivedMs > atMs + onTheWayMs && receivedMs < atMs + Number(text) * 1000).length
        mostWithin = Math.max(mostWithin, within)
      }
    }
    const seen = `${sent} sent, ${served} served, ${refused} refused, longest ${Math.round(this.load.longestMs)} ms, ` +
      `${turnedAway} turned away by workers, at most ${mostWithin} of a gateway in a time in which a worker wanted none`
    this.log(seen)
    assert.ok(served * of >= least * sent && this.load.longestMs <= longestMs && mostWithin <= most, seen)
  })
