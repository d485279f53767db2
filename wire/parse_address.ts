/**
 * Addresses of processes.
 */
import { Err, Ok } from '../core/results/mod.ts'
import type { Result } from '../core/results/mod.ts'
import { WireErrorKind } from './wire_error.ts'
import type { WireError } from './wire_error.ts'

/** The parts of an address. */
export interface HostPort {
  host: string
  port: number
}

const addressPattern = /^(?:\[([0-9a-f:.]+)\]|([^\s:[\]]+)):(\d{1,5})$/i
const maxPort = 65535

/**
 * Splits an address into host and port.
 *
 * @param address `ip:port`, or `[ip]:port` for IPv6
 * @returns the parts, or the error `bad_address`
 *
 * @example
 * ```ts
 * import { parseAddress } from 'briarloom/wire'
 *
 * console.assert(parseAddress('127.0.0.1:7001').unwrap().port === 7001)
 * ```
 */
export function parseAddress (address: string): Result<HostPort, WireError> {
  const match = addressPattern.exec(address)
  const port = Number(match?.[3])
  const host = match?.[1] ?? match?.[2]
  if (host === undefined || !(port <= maxPort)) {
    return Err({ kind: WireErrorKind.BadAddress, message: `address "${address}" is not of the form ip:port with a valid port` })
  }
  return Ok({ host, port })
}

/** Joins a host and a port into an address; an IPv6 host gets brackets. */
export function formatAddress (host: string, port: number): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`
}
