/**
 * Steps for the command line.
 */
import assert from 'node:assert/strict'
import { execFile } from 'node:child_process'
import { once } from 'node:events'
import { readFileSync } from 'node:fs'
import { createServer } from 'node:http'
import type { Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { PassThrough } from 'node:stream'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createLog, DecisionKind } from '../log/mod.ts'
import { loadSettings } from '../settings/mod.ts'
import { createManualTimer } from '../timer/mod.ts'
import { listen, MessageKind } from '../wire/mod.ts'
import type { ManualTimer } from '../timer/mod.ts'
import type { Listener, Message, Psk } from '../wire/mod.ts'
import { loadFlags } from './_load_options.ts'
import { planLoad } from './_load_plan.ts'
import { explainRequest } from './explain_request.ts'
import { runLoad } from './run_load.ts'
import { parseCommand } from './parse_command.ts'
import { printStatus } from './print_status.ts'
import { superviseDaemon } from './supervise_daemon.ts'

interface World {
  code: number | undefined
  streams: Record<string, string>
  peer: Listener
  target: Server
  printed: string
  timer: ManualTimer
  signal: (signal: string) => void
  kills: number
  plans: string[]
  requestCounts: number[]
}

const decision = {
  kind: DecisionKind.Routing,
  request: 'r1',
  attempt: 1,
  caller: 'notaires',
  tier: 'payant',
  chosen: 'd1',
  runnersUp: [{ backend: 'd2', reason: 'no seat' }],
  revision: 7,
  reason: 'fewest in flight'
}

function createReply (msg: Message): Message | undefined {
  if (msg.kind === MessageKind.Status) return { kind: MessageKind.StatusReply, status: { revision: 7 } }
  if (msg.kind !== MessageKind.Explain) return undefined
  const decisions = msg.requestId === 'r1' ? [decision] : []
  return { kind: MessageKind.ExplainReply, requestId: msg.requestId, decisions }
}

After({ tags: '@cli' }, async function (this: World) {
  await this.peer?.close()
  this.target?.close()
})

When('the command line {string} runs as a process', async function (this: World, line: string) {
  await new Promise<void>((resolve) => {
    const child = execFile('node', ['dist/cli/main.js', ...line.split(' ')], (_err, stdout, stderr) => {
      this.streams = { 'standard output': stdout, 'standard error': stderr }
      this.code = child.exitCode ?? undefined
      resolve()
    })
  })
})

Then('the command line prints no key of {string}', function (this: World, file: string) {
  const { tenants } = JSON.parse(readFileSync(file, 'utf8')) as { tenants: Array<{ api_keys: string[] }> }
  const printed = Object.values(this.streams).join('\n')
  for (const key of tenants.flatMap((organisation) => organisation.api_keys)) assert.ok(!printed.includes(key), `key "${key}" is printed`)
})

When('the command line {string} runs in the test process', async function (this: World, line: string) {
  const [out, err]: [string[], string[]] = [[], []]
  const output = { out: (text: string) => out.push(text), err: (text: string) => err.push(text) }
  this.code = await parseCommand(['node', 'briarloom', ...line.split(' ')], output)?.run()
  this.streams = { 'standard output': out.join('\n'), 'standard error': err.join('\n') }
})

Given('a command line target whose responses in turn finish, are refused with "no_capacity" and break off', async function (this: World) {
  const responders = [
    (res: ServerResponse) => { res.end('data: {"choices":[{"delta":{"content":"a"}}]}\n\ndata: [DONE]\n\n') },
    (res: ServerResponse) => { res.writeHead(503).end('{"error":{"code":"no_capacity"}}') },
    (res: ServerResponse) => { res.end('data: {"choices":[{"delta":{"content":"a"}}]}\n\n') }
  ]
  let count = 0
  this.target = createServer((req, res) => {
    const respond = responders[count++ % responders.length]
    req.resume().on('end', () => respond?.(res))
  })
  this.target.listen(0, '127.0.0.1')
  await once(this.target, 'listening')
})

When('the command line sends load to the target at 100 requests per second for 1 s', async function (this: World) {
  const lines: string[] = []
  const { port } = this.target.address() as AddressInfo
  const defaults = loadFlags.map(([flag, , value]) => [flag.slice(2), value])
  const ownFlags = { url: `http://127.0.0.1:${port}`, key: 'k', model: 'redaction', rate: 100, seconds: 1, seed: 3 }
  const output = { out: (line: string) => lines.push(line), err: () => {} }
  this.code = await runLoad({ ...Object.fromEntries(defaults), ...ownFlags }, output)
  this.printed = lines.join('\n')
})

Then('the command line load report counts one third of each, and only the finished as goodput', function (this: World) {
  assert.equal(this.code, 0)
  const counts = /sent (\d+), not sent 0, finished (\d+), refused (\d+), failed (\d+)/.exec(this.printed)
  const [sent = 0, finished = 0, refused = 0, failed = 0] = (counts ?? []).slice(1).map(Number)
  assert.ok(sent > 60 && sent === finished + refused + failed, this.printed)
  assert.equal(finished, Math.ceil(sent / 3))
  assert.equal(failed, Math.floor(sent / 3))
  assert.match(this.printed, new RegExp(`broken_off: ${failed}\n  no_capacity: ${refused}\n`))
  assert.ok(this.printed.includes(`: ${finished.toFixed(2)} requests/s`), this.printed)
})

Then(/^the command line exits with (\d+) and prints "(.*)" to (standard \w+)$/, function (this: World, code: string, text: string, stream: string) {
  assert.equal(this.code, Number(code))
  assert.ok(this.streams[stream]?.includes(text), JSON.stringify(this.streams))
})

async function startPeer (psk?: Psk): Promise<Listener> {
  const listening = await listen({
    host: '127.0.0.1',
    port: 0,
    ...psk && { psk },
    onConnection (connection) {
      connection.onMessage((msg) => {
        const reply = createReply(msg)
        if (reply) connection.send(reply)
      })
    }
  })
  return listening.unwrap()
}

Given('a command line peer that replies to status and explain', async function (this: World) {
  this.peer = await startPeer()
})

Given('a command line peer with the key of the example {string}', async function (this: World, example: string) {
  const file = `examples/${example}/agent_engine.jsonc`
  const { psk } = loadSettings(readFileSync(file, 'utf8'), { file }).unwrap()
  assert.ok(psk)
  this.peer = await startPeer({ identity: psk.identity, key: Buffer.from(psk.keyHex, 'hex') })
})

When('the command line queries the status of the peer with the settings {string}', async function (this: World, file: string) {
  const lines: string[] = []
  const output = { out: (line: string) => lines.push(line), err: (line: string) => lines.push(line) }
  this.code = await printStatus(this.peer.address, file === 'none' ? {} : { settings: file }, output)
  this.printed = lines.join('\n')
})

When('the command line queries the peer with {string}', async function (this: World, query: string) {
  const lines: string[] = []
  const output = { out: (line: string) => lines.push(line), err: (line: string) => lines.push(line) }
  const [command, request = ''] = query.split(' ')
  const { address } = this.peer
  this.code = command === 'status' ? await printStatus(address, {}, output) : await explainRequest(address, request, {}, output)
  this.printed = lines.join('\n')
})

Then(/^the command line query exits with (\d+) and prints "(.*)"$/, function (this: World, code: string, text: string) {
  assert.equal(this.code, Number(code))
  assert.ok(this.printed.includes(text), this.printed)
})

Given(
  /^a command line daemon with a grace period of (\d+) ms and work that finishes (?:at (\d+) ms|never)$/,
  function (this: World, graceMs: string, endMs: string | undefined) {
    this.timer = createManualTimer()
    this.kills = 0
    const daemon = {
      address: '127.0.0.1:1',
      stop: () => new Promise<void>((resolve) => { if (endMs) this.timer.after(Number(endMs), resolve) }),
      kill: () => {
        this.kills += 1
        return Promise.resolve()
      }
    }
    const log = createLog({ name: 'levis-1', level: 'info', stream: new PassThrough() })
    const onSignal = (fn: (signal: string) => void): void => { this.signal = fn }
    superviseDaemon(daemon, { timer: this.timer, log, graceMs: Number(graceMs), onSignal }).then((code) => { this.code = code })
  }
)

When('the command line daemon receives SIGTERM at the times {string} in ms', async function (this: World, times: string) {
  for (const time of times.split(' ')) {
    this.timer.advance(Number(time) - this.timer.now())
    this.signal('SIGTERM')
  }
  this.timer.advance(2000)
  await new Promise(setImmediate)
})

Then(
  'the command line daemon was killed {int} times and the exit code is {int}',
  function (this: World, kills: number, code: number) {
    assert.equal(this.kills, kills)
    assert.equal(this.code, code)
  }
)

When('the command line plans load for 100 s at 50 requests per second with the seeds 1, 1 and 2', function (this: World) {
  const plans = [1, 1, 2].map((seed) => [...planLoad({ seed, ratePerS: 50, durationMs: 100_000, words: { low: 3, high: 9 } })])
  this.plans = plans.map((plan) => JSON.stringify(plan.map((item) => item.atMs)))
  this.requestCounts = plans.map((plan) => plan.length)
})

Then(
  'the command line plans of seed 1 are equal, that of seed 2 differs, and each has {int} to {int} requests',
  function (this: World, low: number, high: number) {
    const [first, again, other] = this.plans
    assert.equal(first, again)
    assert.notEqual(first, other)
    for (const count of this.requestCounts) assert.ok(count >= low && count <= high, String(count))
  }
)
