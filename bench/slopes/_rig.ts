/**
 * Accepts connections of the source process, and measures the processor time and memory of this process.
 */
import { fork } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'
import { listen } from '../../wire/mod.ts'
import type { Connection, Message } from '../../wire/mod.ts'
import type { SourceCommand } from './source_main.ts'

/** Connects the measured process, which is this one, to the source process. */
export interface Rig {
  /** Connections from the source process, in the order in which they were opened. */
  connections: Connection[]
  /** Sets the handler of the messages that the measured process receives. */
  setHandler (fn: (connection: Connection, msg: Message) => void): void
  /** Runs a command in the source process; returns how many messages it has received, or the port after `serve`. */
  runCommand (command: SourceCommand): Promise<number>
  /** Waits until `count` messages have been received in total since the last call of `resetCount`. */
  waitForMessages (count: number): Promise<void>
  /** Sets the number of received messages to 0. */
  resetCount (): void
  /** Ends the source process and closes the listener. */
  close (): Promise<void>
}

/** Starts a listener and the source process that connects to it. */
export async function createRig (): Promise<Rig> {
  const connections: Connection[] = []
  let handler: (connection: Connection, msg: Message) => void = () => {}
  let count = 0
  let waiter: { count: number, resolve: () => void } | undefined

  function onMessage (connection: Connection, msg: Message): void {
    handler(connection, msg)
    count++
    if (waiter !== undefined && count >= waiter.count) {
      waiter.resolve()
      waiter = undefined
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

  async function runCommand (command: SourceCommand): Promise<number> {
    const isConnect = command.op === 'connect'
    source.send(isConnect ? { ...command, address: listener.address } : command)
    const [reply] = await once(source, 'message')
    return (reply as { received: number }).received
  }

  return {
    connections,
    setHandler: (fn) => { handler = fn },
    runCommand,
    waitForMessages: (expected) => count >= expected
      ? Promise.resolve()
      : new Promise((resolve) => { waiter = { count: expected, resolve } }),
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

/** Collects garbage and returns the bytes of the live objects of this process; needs `node --expose-gc`. */
export async function measureLiveBytes (): Promise<number> {
  for (let i = 0; i < 3; i++) {
    globalThis.gc?.()
    await new Promise((resolve) => setImmediate(resolve))
  }
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

/** Returns the bytes of memory that the result of `build` retains. */
export async function measureRetainedBytes (build: () => unknown): Promise<number> {
  const before = await measureLiveBytes()
  const retained = new Set([build()])
  const bytes = await measureLiveBytes() - before
  retained.clear()
  return bytes
}
