/**
 * Turns in which long bodies are read, so that many of them neither fill the memory nor occupy the process between two other events.
 */
import type { Socket } from 'node:net'
import type { Timer } from '../timer/mod.ts'

/** Gives sockets turns. */
export interface ReadTurns {
  /** Stops reading a socket until its next turn, which comes at the end of the queue; `pieces` returns the number of pieces of its last read. */
  wait (socket: Socket, pieces: () => number, onTurn: () => void): void
}

/** Configures the turns. */
export interface ReadTurnsOptions {
  timer: Timer
  /** Returns the memory of the process in bytes. */
  memoryBytes: () => number
  /** Memory in bytes from which on reading is slow, so that what was read before can be collected. */
  slowFromBytes: number
}

/** Work of one turn of the event loop, in reads of one large piece, which is 64 KiB at most. */
const maxReadsPerTurn = 8
/** Number of pieces of a body whose handling takes as long as that of a read of one large piece. */
const piecesPerRead = 500
/** Time in milliseconds between two slow turns, each of one read. */
const slowTurnMs = 2
/** Number of turns after which the memory is looked at again. */
const turnsPerLook = 4

/**
 * Stops reading a socket as Node does when a client does not read its responses. Without its flag, the request itself would read on as
 * soon as it has passed on what it has.
 */
function pause (socket: Socket): void {
  Object.assign(socket, { _paused: true })
  socket.pause()
}

/** Ends such a pause. */
function resume (socket: Socket & { parser?: { resume (): void } | null }): void {
  Object.assign(socket, { _paused: false })
  socket.parser?.resume()
  socket.resume()
}

/** Creates an empty queue. */
export function createReadTurns ({ timer, memoryBytes, slowFromBytes }: ReadTurnsOptions): ReadTurns {
  const queue: Array<{ socket: Socket, pieces: () => number, onTurn: () => void }> = []
  let isScheduled = false
  let isSlow = false
  let turns = 0

  function schedule (): void {
    if (isScheduled || queue.length === 0) return
    isScheduled = true
    if (turns++ % turnsPerLook === 0) isSlow = memoryBytes() >= slowFromBytes
    if (isSlow) timer.after(slowTurnMs, run)
    else setImmediate(run)
  }

  function run (): void {
    isScheduled = false
    // Node itself allocates what it reads. V8 looks at the bytes of such short-lived buffers only when a script allocates one, and would
    // let tens of megabytes more of them pile up.
    Buffer.allocUnsafeSlow(1)
    const maxReads = isSlow ? 1 : maxReadsPerTurn
    for (let reads = 0; reads < maxReads && queue.length > 0;) {
      const next = queue.shift()
      if (next === undefined || next.socket.destroyed) continue
      reads += 1 + Math.floor(next.pieces() / piecesPerRead)
      next.onTurn()
      resume(next.socket)
    }
    schedule()
  }

  return {
    wait (socket, pieces, onTurn) {
      pause(socket)
      queue.push({ socket, pieces, onTurn })
      schedule()
    }
  }
}
