/**
 * Steps for StatsD metrics.
 */
import assert from 'node:assert/strict'
import { createSocket } from 'node:dgram'
import type { Socket } from 'node:dgram'
import { once } from 'node:events'
import { readFileSync } from 'node:fs'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createMetrics, Metric, metricTable } from './mod.ts'
import type { Metrics, MetricSpec } from './mod.ts'

interface World {
  rows: string[]
  metricsServer: Socket
  packet: Promise<string>
  metrics: Metrics
}

After({ tags: '@metrics' }, function (this: World) {
  this.metricsServer?.close()
})

When('the metrics page is read', function (this: World) {
  const page = readFileSync('docs/metrics.md', 'utf8')
  this.rows = page.split('\n').filter((line) => line.startsWith('| `'))
})

Then('the metrics page has exactly one matching row for each metric of the table', function (this: World) {
  const expected = Object.values(Metric).map((metric) => {
    const { kind, unit, tags, meaning }: MetricSpec = metricTable[metric]
    return `| \`${metric}\` | ${kind} | ${unit} | ${tags.join(', ')} | ${meaning} |`
  })
  assert.deepEqual(this.rows.toSorted(), expected.toSorted())
})

Given('a metrics server', async function (this: World) {
  this.metricsServer = createSocket('udp4')
  this.metricsServer.bind(0, '127.0.0.1')
  await once(this.metricsServer, 'listening')
  this.packet = once(this.metricsServer, 'message').then(([packet]) => String(packet))
})

When('metrics with the prefix {string} count a request with the outcome {string}', async function (this: World, prefix: string, outcome: string) {
  const metrics = createMetrics({ host: '127.0.0.1', port: this.metricsServer.address().port, prefix })
  metrics.count(Metric.Requests, 1, { tier: 'pagante', outcome })
  await metrics.close()
})

Then('the metrics server received {string} with the tag {string}', async function (this: World, text: string, tag: string) {
  const packet = await this.packet
  assert.ok(packet.startsWith(text) && packet.includes(tag), packet)
})

When('metrics are sent to a port where nothing listens', function (this: World) {
  this.metrics = createMetrics({ host: '127.0.0.1', port: 1, prefix: '' })
  for (let i = 0; i < 100; i++) this.metrics.gauge(Metric.Connections, i, { process: 'agent' })
})

Then('the metrics close without an error', async function (this: World) {
  await this.metrics.close()
})
