/**
 * Free ports of the loopback address, which no other test process takes.
 */
import { createServer } from 'node:net'
import type { Server } from 'node:net'

/** Range of ports that the operating system gives to no outgoing connection: one that was just found free stays so until it is bound. */
const firstPort = 10_000
const portCount = 20_000
/** Ports of one process; the first one is kept bound as the mark that the others belong to it. */
const portsPerProcess = 400
const blocks = portCount / portsPerProcess

let block: Promise<number> | undefined
let next = 1

function bind (port: number): Promise<Server | undefined> {
  const server = createServer()
  return new Promise((resolve) => {
    server.once('error', () => resolve(undefined)) // Another process listens there; the caller tries the next port.
    server.listen(port, '127.0.0.1', () => resolve(server))
  })
}

/** Takes a block of ports that no other process has taken, and returns its first port. */
async function takeBlock (): Promise<number> {
  for (let tries = 0; tries < blocks; tries++) {
    const first = firstPort + (process.pid + tries) % blocks * portsPerProcess
    const mark = await bind(first)
    if (mark === undefined) continue
    mark.unref()
    return first
  }
  throw new Error(`each of ${blocks} blocks of ports from ${firstPort} on belongs to another process`)
}

/**
 * Finds a port on the loopback address that nothing listens on, and that no other process gets from here.
 *
 * @returns the port
 * @throws when no block, or no port of the own block, is free
 *
 * @example
 * ```ts
 * import { freePort } from 'briarloom/testing/ports'
 *
 * console.assert(await freePort() > 0)
 * ```
 */
export async function findFreePort (): Promise<number> {
  block ??= takeBlock()
  const first = await block
  for (let tries = 1; tries < portsPerProcess; tries++) {
    const port = first + next
    next = next % (portsPerProcess - 1) + 1
    const server = await bind(port)
    if (server === undefined) continue
    await new Promise<void>((resolve) => { server.close(() => resolve()) })
    return port
  }
  throw new Error(`none of the ports ${first + 1} to ${first + portsPerProcess - 1} is free`)
}
