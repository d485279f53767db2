/**
 * Finds free ports of the loopback address that no other test process uses.
 */
import { createServer } from 'node:net'
import type { Server } from 'node:net'

/**
 * Range of ports that the operating system gives to no outgoing connection, so that a port that was found free is still free when
 * the caller binds it.
 */
const firstPort = 10_000
const portCount = 20_000
/** Number of ports in the block of a process; the process keeps the first one bound, which reserves the others for it. */
const portsPerProcess = 400
const blockCount = portCount / portsPerProcess

let ownBlock: Promise<number> | undefined
let nextOffset = 1

function bind (port: number): Promise<Server | undefined> {
  const server = createServer()
  return new Promise((resolve) => {
    server.once('error', () => resolve(undefined)) // Another process uses the port; the caller tries the next one.
    server.listen(port, '127.0.0.1', () => resolve(server))
  })
}

/** Reserves a block of ports for this process, and returns its first port, which stays bound. */
async function reserveBlock (): Promise<number> {
  for (let tries = 0; tries < blockCount; tries++) {
    const first = firstPort + (process.pid + tries) % blockCount * portsPerProcess
    const blockServer = await bind(first)
    if (blockServer === undefined) continue
    blockServer.unref()
    return first
  }
  throw new Error(`each of the ${blockCount} blocks of ports from ${firstPort} on is reserved by another process`)
}

/**
 * Finds a port on the loopback address that nothing listens on and that this function returns in no other process.
 *
 * @returns the port
 * @throws when every block is reserved by another process, or no port in the block of this process is free
 *
 * @example
 * ```ts
 * import { findFreePort } from 'briarloom/testing/ports'
 *
 * console.assert(await findFreePort() > 0)
 * ```
 */
export async function findFreePort (): Promise<number> {
  ownBlock ??= reserveBlock()
  const first = await ownBlock
  for (let tries = 1; tries < portsPerProcess; tries++) {
    const port = first + nextOffset
    nextOffset = nextOffset % (portsPerProcess - 1) + 1
    const server = await bind(port)
    if (server === undefined) continue
    await new Promise<void>((resolve) => { server.close(() => resolve()) })
    return port
  }
  throw new Error(`none of the ports ${first + 1} to ${first + portsPerProcess - 1} is free`)
}
