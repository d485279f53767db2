/**
 * Free ports below the range from which the system takes ports of outgoing connections.
 */
import { createServer } from 'node:net'

const lowestPort = 20_000
const portSpan = 10_000
const pidStride = 97
let next = lowestPort + (process.pid * pidStride) % portSpan

function isFree (port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}

/** Finds a port on the loopback address that nothing listens on. */
export async function freePort (): Promise<number> {
  for (let tries = 0; tries < portSpan; tries++) {
    const port = next
    next = next + 1 >= lowestPort + portSpan ? lowestPort : next + 1
    if (await isFree(port)) return port
  }
  throw new Error('no port is free')
}
