/**
 * TLS with a pre-shared key (PSK) between processes.
 */
import type { ConnectionOptions, TlsOptions } from 'node:tls'

/** The key that all processes of a deployment share. */
export interface Psk {
  /** Name of the key, which the connecting process sends. */
  identity: string
  key: Uint8Array
}

/** Cipher suites with an ephemeral key exchange, so that a stolen key cannot decrypt recorded traffic. */
const pskCiphers = 'ECDHE-PSK-CHACHA20-POLY1305:DHE-PSK-AES256-GCM-SHA384:DHE-PSK-CHACHA20-POLY1305'

/** TLS 1.2 is the version whose pre-shared keys the callbacks of Node support completely. */
const tlsVersion = 'TLSv1.2'

const handshakeTimeoutMs = 2000

/** Returns the TLS options of a connecting process. */
export function clientPskOptions (psk: Psk): ConnectionOptions {
  return {
    ciphers: pskCiphers,
    minVersion: tlsVersion,
    maxVersion: tlsVersion,
    // The key authenticates the peer; there is no certificate to check.
    checkServerIdentity: () => undefined,
    pskCallback: () => ({ identity: psk.identity, psk: psk.key })
  }
}

/** Returns the TLS options of a listening process; it refuses any other identity than that of the key. */
export function serverPskOptions (psk: Psk): TlsOptions {
  return {
    ciphers: pskCiphers,
    minVersion: tlsVersion,
    maxVersion: tlsVersion,
    handshakeTimeout: handshakeTimeoutMs,
    pskCallback: (_socket, identity) => identity === psk.identity ? psk.key : null
  }
}
