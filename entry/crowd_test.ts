/**
 * Steps that press on the process of an entry with a crowd of clients.
 */
import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { callService } from '../testing/caller/mod.ts'
import { startCrowd, watchProcess } from '../testing/crowd/mod.ts'
import { Firm, startDeployment } from '../testing/deployment/mod.ts'
import type { CrowdKind, WatchedProcess } from '../testing/crowd/mod.ts'
import type { Deployment } from '../testing/deployment/mod.ts'

interface World {
  crowdDeployment: Deployment
  crowdWatched: WatchedProcess
}

/** The default of the setting. */
const maxBodyBytes = 4_194_304
/** Longest time in milliseconds for which a crowd sends, and that for which it then stays. */
const pressMs = 10_000
const stayMs = 1_500
const stepTimeout = { timeout: 90_000 }

function findEntry (deployment: Deployment) {
  const found = deployment.listProcesses().find(({ name }) => name.startsWith('entry/'))
  assert.ok(found, 'the deployment has no entry')
  return found
}

Given('a deployment whose entry has a heap of {int} MiB and takes {int} requests', stepTimeout,
  async function (this: World, mebibytes: number, maxRequests: number) {
    this.crowdDeployment = await startDeployment({
      firm: Firm.Velluto,
      entries: 1,
      prefill: 1,
      decode: 1,
      services: 1,
      zones: ['milano-a'],
      settings: { limits: { maxRequests } },
      entryArguments: [`--max-old-space-size=${mebibytes}`]
    })
    this.crowdWatched = watchProcess(findEntry(this.crowdDeployment).pid())
  })

After({ timeout: 30_000 }, async function (this: World) {
  this.crowdWatched?.stop()
  await this.crowdDeployment?.stop()
})

When('{int} clients press on that entry with {string}', stepTimeout, async function (this: World, clients: number, kind: CrowdKind) {
  const { firm } = this.crowdDeployment
  const [host, port] = this.crowdDeployment.getEntryAddress(0).split(':') as [string, string]
  const buildHead = (): string =>
    `POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer ${firm.paidKey}\r\nContent-Type: application/json\r\n`
  const crowd = startCrowd(kind, { host, port: Number(port), clients, maxBodyBytes, buildHead })
  const entry = findEntry(this.crowdDeployment)
  const endMs = performance.now() + pressMs
  while (performance.now() < endMs && !crowd.hasSentAll() && entry.isRunning()) await sleep(20)
  await sleep(stayMs)
  crowd.close()
  const peak = `${Math.round(this.crowdWatched.peakMebibytes())} MiB, ${this.crowdWatched.peakSockets()} sockets`
  console.log(`${clients} x ${kind} at an entry: ${peak}, ${entry.isRunning() ? 'lives' : 'ended'}; ${JSON.stringify(crowd.statuses())}`)
})

async function sleep (ms: number): Promise<void> { await new Promise((resolve) => setTimeout(resolve, ms)) }

Then('that entry lives, has had at most {int} MiB of memory and {int} sockets, and answers a call', stepTimeout,
  async function (this: World, mebibytes: number, sockets: number) {
    const { crowdDeployment, crowdWatched } = this
    const entry = findEntry(crowdDeployment)
    const { firm } = crowdDeployment
    assert.ok(entry.isRunning(), `the entry has ended: ${entry.readLines().slice(-20).join('\n')}`)
    const call = { address: crowdDeployment.getEntryAddress(0), key: firm.paidKey, service: firm.service, method: 'GET', path: `${firm.readPath}/probe` }
    assert.equal((await callService(call)).status, 200)
    assert.ok(entry.isRunning(), 'the entry has ended after the call')
    assert.ok(crowdWatched.peakMebibytes() <= mebibytes, `${crowdWatched.peakMebibytes()} MiB`)
    assert.ok(crowdWatched.peakSockets() <= sockets, `${crowdWatched.peakSockets()} sockets`)
  })
