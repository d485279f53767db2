/**
 * Steps for metrics that a process serves.
 */
import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { findFreePort } from '../testing/ports/mod.ts'
import { Count, createPrometheusMetrics, Latency } from './mod.ts'
import type { DataTable } from '@cucumber/cucumber'
import type { PrometheusMetrics } from './mod.ts'

interface World {
  servedMetrics?: PrometheusMetrics
  otherMetrics?: PrometheusMetrics
  metricsPort: number
  metricsFaults: string[]
}

After(function (this: World) {
  this.servedMetrics?.close()
  this.otherMetrics?.close()
})

Given('served metrics at a free port with a gauge {string} of {int}', async function (this: World, name: string, value: number) {
  this.metricsPort = await findFreePort()
  this.servedMetrics = createPrometheusMetrics({ listen: { host: '127.0.0.1', port: this.metricsPort }, gauges: { [name]: () => value } })
})

When('{int} requests of {string} and a wait of {int} ms are put into the served metrics', function (this: World, count: number, service: string, ms: number) {
  this.servedMetrics?.count(Count.Requests, { service, status: '200', reason: 'answered' }, count)
  this.servedMetrics?.observe(Latency.Reservation, ms)
})

When('other served metrics want the same port', async function (this: World) {
  this.metricsFaults = []
  const listen = { host: '127.0.0.1', port: this.metricsPort }
  this.otherMetrics = createPrometheusMetrics({ listen, gauges: {}, onError: (message) => this.metricsFaults.push(message) })
  while (this.metricsFaults.length === 0) await new Promise((resolve) => setTimeout(resolve, 5))
})

Then('the served metrics have the lines', async function (this: World, table: DataTable) {
  const text = await (await fetch(`http://127.0.0.1:${this.metricsPort}/metrics`)).text()
  for (const [line] of table.raw()) assert.ok(text.split('\n').includes(line as string), `${line} is not in\n${text}`)
})

Then('the other served metrics say that the port is taken', function (this: World) {
  assert.match(this.metricsFaults[0] ?? '', /EADDRINUSE/)
})
