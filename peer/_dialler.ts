/**
 * Dials the peers to which a process needs connections, and dials again after a failure or a lost connection.
 */
import { connect } from '../wire/mod.ts'
import type { Connection } from '../wire/mod.ts'
import type { Subscription } from '../timer/mod.ts'
import type { PeersOptions } from './_types.ts'

/** Dials peers until told to stop. */
export interface Dialler {
  /** Starts to dial a peer at an address `ip:port`; has no effect when the peer is already dialled at this address. */
  dial (name: string, address: string): void
  /** Stops dialling a peer; returns false when it was not dialled. Open connections stay open. */
  stopDialling (name: string): boolean
  /** Must be called when the link to a peer has ended; schedules the next attempt when the peer is dialled. */
  onDisconnected (name: string): void
  /** Returns the names of the peers that are dialled, connected or not. */
  names (): string[]
  /** Stops dialling all peers. */
  close (): void
}

/** Configures the dialler. */
export interface DiallerOptions {
  peers: PeersOptions
  /** Returns whether a connection to the peer is in use. */
  isLinked: (name: string) => boolean
  /** Gets each connection that was established. */
  onConnection: (conn: Connection) => void
}

interface Target {
  address: string
  failures: number
  pendingRedial: Subscription | undefined
  isConnecting: boolean
}

const defaultMinRedialMs = 100
const defaultMaxRedialMs = 2000

/**
 * Creates a dialler. Its delays grow exponentially with the failures in a row, with jitter. A peer that is already linked,
 * because it dialled this process first, is not dialled.
 */
export function createDialler (options: DiallerOptions): Dialler {
  const { timer, psk, maxFrameBytes, random } = options.peers
  const minRedialMs = options.peers.minRedialMs ?? defaultMinRedialMs
  const maxRedialMs = options.peers.maxRedialMs ?? defaultMaxRedialMs
  const targets = new Map<string, Target>()

  function scheduleRedial (name: string, target: Target): void {
    if (targets.get(name) !== target) return
    const waitMs = Math.min(maxRedialMs, minRedialMs * 2 ** target.failures)
    target.failures += 1
    target.pendingRedial?.cancel()
    target.pendingRedial = timer.after(waitMs * (0.5 + random() / 2), () => { openConnection(name, target) })
  }

  async function openConnection (name: string, target: Target): Promise<void> {
    if (target.isConnecting || options.isLinked(name)) return
    target.isConnecting = true
    const connection = await connect({ address: target.address, psk, maxFrameBytes })
    target.isConnecting = false
    if (connection.err) {
      scheduleRedial(name, target)
    } else if (targets.get(name) !== target) {
      connection.val.close()
    } else {
      target.failures = 0
      options.onConnection(connection.val)
      // The exchange of hello messages may fail, or the peer may keep another connection. This one then closes without ever
      // becoming the link, so `onDisconnected` is not called for it.
      connection.val.onClose(() => { if (!options.isLinked(name)) scheduleRedial(name, target) })
    }
  }

  function stopDialling (name: string): boolean {
    targets.get(name)?.pendingRedial?.cancel()
    return targets.delete(name)
  }

  return {
    dial (name, address) {
      if (targets.get(name)?.address === address) return
      stopDialling(name)
      const target: Target = { address, failures: 0, pendingRedial: undefined, isConnecting: false }
      targets.set(name, target)
      openConnection(name, target)
    },
    stopDialling,
    onDisconnected (name) {
      const target = targets.get(name)
      if (target !== undefined) scheduleRedial(name, target)
    },
    names: () => [...targets.keys()],
    close () {
      for (const name of [...targets.keys()]) stopDialling(name)
    }
  }
}
