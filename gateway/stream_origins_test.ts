/**
 * Steps for what began streams, among simulated gateways and sidecars.
 */
import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { simulateOrigins } from './_simulated_origins_test.ts'
import type { OriginSimulation } from './_simulated_origins_test.ts'

interface World {
  originSimulation?: OriginSimulation
  begun: Map<string, string>
}

const seed = 49

function simulationOf (world: World): OriginSimulation { return world.originSimulation ?? assert.fail('no simulation') }

Given('{int} simulated gateways and {int} simulated sidecars', function (this: World, gateways: number, sidecars: number) {
  this.originSimulation?.close()
  this.originSimulation = simulateOrigins({ gateways, sidecars, seed })
})

After(function (this: World) { this.originSimulation?.close() })

When('{int} simulated streams of two versions begin', function (this: World, count: number) {
  const simulation = simulationOf(this)
  this.begun = new Map(Array.from({ length: count }, (_, i) => [`request-${i}`, simulation.pick(2) === 0 ? 'v1' : 'v2']))
  for (const [requestId, version] of this.begun) {
    simulation.begin(requestId, version)
    simulation.timer.advance(5)
  }
  simulation.timer.advance(10)
})

/** Replaces sidecars by others, which start first. */
function replace (simulation: OriginSimulation, addresses: string[]): void {
  addresses.forEach(() => simulation.addSidecar())
  simulation.timer.advance(1_000)
  for (const address of addresses) simulation.retireSidecar(address)
}

const losses: { readonly [what: string]: (simulation: OriginSimulation) => void } = {
  'all gateways start anew': (simulation) => simulation.restartGateways(),
  'all gateways start anew while a third of the sidecars does' (simulation) {
    simulation.restartSidecars(1 / 3)
    simulation.restartGateways()
  },
  'a third of the sidecars starts anew, and all gateways a second later' (simulation) {
    simulation.restartSidecars(1 / 3)
    simulation.timer.advance(1_200)
    simulation.restartGateways()
  },
  'all sidecars are replaced one after the other, and all gateways start anew' (simulation) {
    for (const address of simulation.sidecars()) {
      replace(simulation, [address])
      simulation.timer.advance(700)
    }
    simulation.timer.advance(3_000)
    simulation.restartGateways()
  },
  'all sidecars are replaced at once, and all gateways start anew a second later' (simulation) {
    replace(simulation, simulation.sidecars())
    simulation.timer.advance(1_200)
    simulation.restartGateways()
    simulation.timer.advance(2_000)
  },
  'all gateways and sidecars start anew' (simulation) {
    simulation.restartSidecars(1)
    simulation.restartGateways()
    simulation.timer.advance(1_000)
  }
}

When(/^in the simulation (all .+|a third .+)$/, function (this: World, what: string) {
  const cause = losses[what] ?? assert.fail(what)
  cause(simulationOf(this))
})

Then('at least {int} in 100 simulated streams are taken up, and none at another version', async function (this: World, share: number) {
  let taken = 0
  for (const [requestId, version] of this.begun) {
    const { origin } = await simulationOf(this).takeUp(requestId)
    if (origin === undefined) continue
    assert.equal(origin.softwareVersion, version)
    taken++
  }
  assert.ok(taken >= share / 100 * this.begun.size, `${taken} of ${this.begun.size}`)
})

Then('no simulated stream is taken up, and each is refused for good', async function (this: World) {
  for (const requestId of this.begun.keys()) assert.deepEqual(await simulationOf(this).takeUp(requestId), { isFinal: true })
})

Then('the simulated gateways have sent {int} messages for each stream', function (this: World, count: number) {
  assert.equal(simulationOf(this).sent(), count * this.begun.size)
})
