/**
 * Default limits of connections between processes.
 */

/** Largest frame accepted, in bytes. */
export const defaultMaxFrameBytes = 4 * 1024 * 1024

/** Largest number of unsent bytes that a connection holds. */
export const defaultMaxBufferedBytes = 16 * 1024 * 1024

/** Time in milliseconds that a connection attempt may take. */
export const defaultConnectTimeoutMs = 2000

/** Time in milliseconds within which the connecting peer must send its first message. */
export const defaultFirstMessageTimeoutMs = 5000

/** Time in milliseconds without progress after which a connection that is closing drops its unsent bytes. */
export const closeTimeoutMs = 1000

/** Time in milliseconds without traffic after which the operating system probes whether the peer still answers. */
export const keepAliveIdleMs = 10_000
