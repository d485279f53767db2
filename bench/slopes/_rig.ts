/**
 * The measured process: accepts connections of the source process and counts its own processor time.
 */
import { fork } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'
import { listen } from '../../wire/mod.ts'
import type { Connection, Message } from '../../wire/mod.ts'
import type { SourceCommand } from './source_main.ts'

/** Ties the measured process to the source process. */
export interface Rig {
  /** Connections of the source, in the order in which they came. */
  connections: Connection[]
  /** Sets what the measured process does with each message. */
  setHandler (fn: (connection: Connection, msg: Message) => void): void
  /** Gives the source an order and waits until it is done; returns how many messages the source has received. */
  runCommand (order: SourceCommand): Promise<number>
  /** Waits until `count` messages came in all since the last call of `resetCount`. */
  waitForMessages (count: number): Promise<void>
  resetCount (): void
  close (): Promise<void>
}

/** Starts the source process and a listener for it. */
export async function createRig (): Promise<Rig> {
  const connections: Connection[] = []
  let handler: (connection: Connection, msg: Message) => void = () => {}
  let count = 0
  let waiting: { count: number, resolve: () => void } | undefined

  function onMessage (connection: Connection, msg: Message): void {
    handler(connection, msg)
    count++
    if (waiting !== undefined && count >= waiting.count) {
      waiting.resolve()
      waiting = undefined
    }
  }

  const listener = (await listen({
    host: '127.0.0.1',
    port: 0,
    onConnection (connection) {
      connections.push(connection)
      connection.onMessage((msg) => onMessage(connection, msg))
    }
  })).unwrap()
  const source = fork(fileURLToPath(new URL('./source_main.js', import.meta.url)))

  async function order (order: SourceCommand): Promise<number> {
    const isConnect = order.op === 'connect'
    source.send(isConnect ? { ...order, address: listener.address } : order)
    const [answer] = await once(source, 'message')
    return (answer as { received: number }).received
  }

  return {
    connections,
    setHandler: (fn) => { handler = fn },
    runCommand: order,
    waitForMessages: (wanted) => count >= wanted
      ? Promise.resolve()
      : new Promise((resolve) => { waiting = { count: wanted, resolve } }),
    resetCount: () => { count = 0 },
    async close () {
      source.disconnect()
      await once(source, 'exit')
      await listener.close()
    }
  }
}

/** Runs `work` and returns the processor time of this process in microseconds. */
export async function measureCpuMicros (work: () => Promise<void> | void): Promise<number> {
  const start = process.cpuUsage()
  await work()
  const { user, system } = process.cpuUsage(start)
  return user + system
}

/** Returns the bytes that live objects of this process hold, after a collection. */
export async function measureLiveBytes (): Promise<number> {
  for (let i = 0; i < 3; i++) {
    globalThis.gc?.()
    await new Promise((resolve) => setImmediate(resolve))
  }
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

/** Returns the bytes that the result of `build` holds. */
export async function measureRetainedBytes (build: () => unknown): Promise<number> {
  const before = await measureLiveBytes()
  const kept = new Set([build()])
  const bytes = await measureLiveBytes() - before
  kept.clear()
  return bytes
}
