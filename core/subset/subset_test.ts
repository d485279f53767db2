/**
 * Steps for the choice of subsets.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { chooseExchangePoints, chooseReaders, chooseRelayPeers, chooseSubset } from './mod.ts'
import type { SubsetAgent, SubsetMember } from './mod.ts'

interface World {
  entries: SubsetMember[]
  agents: SubsetAgent[]
  perGroup: number
  coverage: number
  subsets: Map<string, string[]>
}

Given('a subset deployment of {int} entries and {int} agents in {int} availability zones with {int} groups',
  function (this: World, entries: number, agents: number, zones: number, groups: number) {
    const place = (i: number) => ({ availabilityZone: `zone-${i % zones}`, region: 'r' })
    this.entries = Array.from({ length: entries }, (_, i) => ({ name: `entry-${i}`, ...place(i) }))
    this.agents = Array.from({ length: agents }, (_, i) => ({
      name: `agent-${i}`, group: `group-${Math.floor(i / zones) % groups}`, ...place(i)
    }))
  })

function chooseAll (world: World, entries: SubsetMember[], agents: SubsetAgent[]): Map<string, string[]> {
  const { perGroup, coverage } = world
  return new Map(entries.map((entry) => [entry.name, chooseSubset({ entry, entries, agents, perGroup, coverage })]))
}

When('every entry chooses its subset of {int} agents of each group with a coverage of {int}',
  function (this: World, perGroup: number, coverage: number) {
    Object.assign(this, { perGroup, coverage })
    this.subsets = chooseAll(this, this.entries, this.agents)
  })

Then('each subset has at least {int} agents of each group, at most {int} in all, and every zone in each group',
  function (this: World, perGroup: number, most: number) {
    const zones = new Set(this.agents.map((agent) => agent.availabilityZone))
    const groups = new Set(this.agents.map((agent) => agent.group))
    for (const subset of this.subsets.values()) {
      assert.ok(subset.length <= most, `${subset.length} agents`)
      const members = this.agents.filter((agent) => subset.includes(agent.name))
      for (const group of groups) {
        const inGroup = members.filter((agent) => agent.group === group)
        assert.ok(inGroup.length >= perGroup)
        assert.equal(new Set(inGroup.map((agent) => agent.availabilityZone)).size, zones.size)
      }
    }
  })

Then('each agent is in at least {int} subsets and at most {int}', function (this: World, least: number, most: number) {
  const counts = new Map(this.agents.map((agent) => [agent.name, 0]))
  for (const subset of this.subsets.values()) {
    for (const name of subset) counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  assert.ok(Math.min(...counts.values()) >= least, `${Math.min(...counts.values())} subsets`)
  assert.ok(Math.max(...counts.values()) <= most, `${Math.max(...counts.values())} subsets`)
})

Then('without agent {int} the subsets lose only that agent and gain at most as many agents as lost it',
  function (this: World, lost: number) {
    const name = `agent-${lost}`
    const after = chooseAll(this, this.entries, this.agents.filter((agent) => agent.name !== name))
    let holders = 0
    let gained = 0
    for (const [entry, before] of this.subsets) {
      const now = new Set(after.get(entry))
      if (before.includes(name)) holders++
      gained += [...now].filter((agent) => !before.includes(agent)).length
      assert.deepEqual(before.filter((agent) => !now.has(agent) && agent !== name), [])
    }
    assert.ok(holders > 0 && gained <= holders, `${gained} gained, ${holders} lost`)
  })

Then('without entry {int} the other subsets lose no agent', function (this: World, lost: number) {
  const after = chooseAll(this, this.entries.filter((entry) => entry.name !== `entry-${lost}`), this.agents)
  for (const [entry, now] of after) {
    assert.deepEqual(this.subsets.get(entry)?.filter((agent) => !now.includes(agent)), [])
  }
})

function members (world: World): SubsetMember[] {
  return [...world.entries, ...world.agents]
}

function relayGraph (all: SubsetMember[], readersPerZone: number, fanOut: number): Map<string, Set<string>> {
  const graph = new Map(all.map(({ name }) => [name, new Set<string>()]))
  for (const { name } of all) {
    const { parents, crossZone } = chooseRelayPeers({ self: name, members: all, readersPerZone, fanOut })
    for (const peer of [...parents, ...crossZone]) {
      graph.get(name)!.add(peer)
      graph.get(peer)!.add(name)
    }
  }
  return graph
}

Then('the relay trees with {int} readers in each zone and a fan-out of {int} reach all others in at most {int} steps without any one process',
  function (this: World, readersPerZone: number, fanOut: number, steps: number) {
    const all = members(this)
    const graph = relayGraph(all, readersPerZone, fanOut)
    const readers = chooseReaders({ members: all, perZone: readersPerZone })
    for (const { name: lost } of all) {
      const reached = new Set([readers.find((name) => name !== lost)!])
      let frontier = [...reached]
      for (let step = 0; step < steps; step++) {
        frontier = frontier.flatMap((name) => [...graph.get(name)!]).filter((name) => name !== lost && !reached.has(name))
        frontier.forEach((name) => reached.add(name))
      }
      assert.equal(reached.size, all.length - 1, `processes reached without ${lost}`)
    }
  })

Then('each process of the relay trees chooses at most {int} links and has at most {int}',
  function (this: World, chosen: number, most: number) {
    const all = members(this)
    for (const { name } of all) {
      const { parents, crossZone } = chooseRelayPeers({ self: name, members: all, readersPerZone: 3, fanOut: 4 })
      assert.ok(parents.length + crossZone.length <= chosen)
    }
    for (const links of relayGraph(all, 3, 4).values()) assert.ok(links.size <= most, `${links.size} links`)
  })

Then('the subset readers are {int} in each zone and change by one when a reader is lost',
  function (this: World, perZone: number) {
    const all = members(this)
    const before = chooseReaders({ members: all, perZone })
    assert.equal(before.length, perZone * new Set(all.map((member) => member.availabilityZone)).size)
    const after = chooseReaders({ members: all.filter(({ name }) => name !== before[0]), perZone })
    assert.equal(after.filter((name) => !before.includes(name)).length, 1)
  })

Then('each subset has exactly {int} agents', function (this: World, size: number) {
  for (const subset of this.subsets.values()) assert.equal(subset.length, size)
})

Then('subset exchange points of {int} among {int} machines in {int} zones are {int} in {int} zones and change by at most one',
  function (wanted: number, machines: number, zones: number, count: number, spread: number) {
    const candidates = Array.from({ length: machines }, (_, i) => ({ name: `10.0.${i % zones}.${i}:7660`, zone: `z${i % zones}` }))
    const choose = (from: typeof candidates): string[] => chooseExchangePoints({ candidates: from, count: wanted })
    const points = choose(candidates)
    const zoneOf = new Map(candidates.map(({ name, zone }) => [name, zone]))
    assert.equal(points.length, count)
    assert.equal(new Set(points.map((name) => zoneOf.get(name))).size, spread)
    assert.deepEqual(choose([...candidates].reverse()), points)
    for (const lost of machines > wanted ? candidates : []) {
      const rest = choose(candidates.filter((one) => one !== lost))
      const isPoint = points.includes(lost.name)
      assert.equal(points.filter((name) => !rest.includes(name)).length, isPoint ? 1 : 0, `without ${lost.name}`)
    }
  })
