/**
 * Keeps dialling the peers that a process wants to be connected to.
 */
import { connect } from '../wire/mod.ts'
import type { Connection } from '../wire/mod.ts'
import type { Subscription } from '../timer/mod.ts'
import type { PeersOptions } from './_types.ts'

/** Dials peers. */
export interface Dialler {
  dial (name: string, address: string): void
  /** Forgets a peer; false when it was not dialled. */
  stopDialling (name: string): boolean
  /** Dials again when the peer is wanted, after the link to it ended. */
  onDisconnected (name: string): void
  names (): string[]
  close (): void
}

/** Configures the dialler. */
export interface DiallerOptions {
  peers: PeersOptions
  isLinked: (name: string) => boolean
  onConnection: (conn: Connection) => void
}

interface Target {
  address: string
  failures: number
  retry: Subscription | undefined
  isConnecting: boolean
}

const defaultRedialMs = 100
const defaultMaxRedialMs = 2000

/**
 * Creates the dialler. A peer that is linked already, because it dialled first, is not dialled.
 */
export function createDialler (options: DiallerOptions): Dialler {
  const { timer, psk, maxFrameBytes, random } = options.peers
  const redialMs = options.peers.minRedialMs ?? defaultRedialMs
  const maxRedialMs = options.peers.maxRedialMs ?? defaultMaxRedialMs
  const targets = new Map<string, Target>()

  function redial (name: string, target: Target): void {
    if (targets.get(name) !== target) return
    const waitMs = Math.min(maxRedialMs, redialMs * 2 ** target.failures)
    target.failures += 1
    target.retry?.cancel()
    target.retry = timer.after(waitMs * (0.5 + random() / 2), () => { open(name, target) })
  }

  async function open (name: string, target: Target): Promise<void> {
    if (target.isConnecting || options.isLinked(name)) return
    target.isConnecting = true
    const made = await connect({ address: target.address, psk, maxFrameBytes })
    target.isConnecting = false
    if (made.err) {
      redial(name, target)
    } else if (targets.get(name) !== target) {
      made.val.close()
    } else {
      target.failures = 0
      options.onConnection(made.val)
      // The greeting may fail, or the other end may keep another connection; then this one ends without a link.
      made.val.onClose(() => { if (!options.isLinked(name)) redial(name, target) })
    }
  }

  function undial (name: string): boolean {
    targets.get(name)?.retry?.cancel()
    return targets.delete(name)
  }

  return {
    dial (name, address) {
      if (targets.get(name)?.address === address) return
      undial(name)
      const target: Target = { address, failures: 0, retry: undefined, isConnecting: false }
      targets.set(name, target)
      open(name, target)
    },
    stopDialling: undial,
    onDisconnected (name) {
      const target = targets.get(name)
      if (target !== undefined) redial(name, target)
    },
    names: () => [...targets.keys()],
    close () {
      for (const name of [...targets.keys()]) undial(name)
    }
  }
}
