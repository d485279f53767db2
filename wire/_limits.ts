/**
 * Default bounds of connections between processes.
 */

/** Largest frame accepted, in bytes. */
export const defaultMaxFrameBytes = 4 * 1024 * 1024

/** Largest number of unsent bytes that a connection holds. */
export const defaultMaxBufferedBytes = 16 * 1024 * 1024

/** Time in milliseconds that a connection attempt may take. */
export const defaultConnectTimeoutMs = 2000

/** Time in milliseconds within which a peer that connected must send its first message. */
export const defaultFirstMessageTimeoutMs = 5000

/** Time in milliseconds that a closed connection may take to send what it holds. */
export const closeTimeoutMs = 1000

/** Time in milliseconds without traffic after which the operating system asks whether the peer is still there. */
export const keepAliveIdleMs = 10_000
