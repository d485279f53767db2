/**
 * Turns in which long bodies are read, so that many of them neither fill the memory nor occupy the process between two other events.
 */
import type { Socket } from 'node:net'
import type { Timer } from '../timer/mod.ts'

/** Gives sockets turns. */
export interface ReadTurns {
  /** Takes a socket that has just been accepted. */
  accept (socket: Socket): void
  /**
   * Notes a piece of a long body that is read without a turn. After a number of them, or of bytes, in one turn of the event loop, all other
   * sockets stop for a while, since any of them may have as much to read, and come back a few at a time: those that have got a response
   * first, and the newest.
   */
  noteUnturned (bytes: number): void
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
/** Number of pieces read without a turn, in one turn of the event loop, after which all other sockets stop, and the length that counts as one. */
const maxPiecesPerTurn = 2_000
const bytesPerPiece = 1_024
/** Number of stopped sockets that go on in each turn of the event loop. */
const resumedPerTurn = 8
/** Time in milliseconds after such a stop for which accepted sockets stop too. */
const pressMs = 1_000
/** Number of turns in a row that are left out while sockets are accepted, of which Node takes one in each turn of the event loop. */
const maxLeftOut = 16
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
  const accepted = new Set<Socket>()
  const waiting = new Set<Socket>()
  /** Sockets that are stopped although they may go on, in the order in which the last one goes on first. */
  let stopped: Socket[] = []
  let piecesInTurn = 0
  let pressedUntilMs = -Infinity
  let hasAccepted = false
  let leftOut = 0
  let isScheduled = false
  let isSlow = false
  let turns = 0

  function schedule (): void {
    if (isScheduled || (queue.length === 0 && stopped.length === 0)) return
    isScheduled = true
    if (turns++ % turnsPerLook === 0) isSlow = memoryBytes() >= slowFromBytes
    if (isSlow) timer.after(slowTurnMs, run)
    else setImmediate(run)
  }

  function stopOthers (): void {
    pressedUntilMs = timer.now() + pressMs
    const known = new Set(stopped)
    const others = [...accepted].filter((socket) => !waiting.has(socket) && !known.has(socket))
    for (const socket of others) pause(socket)
    const all = [...stopped, ...others]
    stopped = [...all.filter((socket) => socket.bytesWritten === 0), ...all.filter((socket) => socket.bytesWritten > 0)]
    schedule()
  }

  function run (): void {
    isScheduled = false
    const isLeftOut = hasAccepted && leftOut < maxLeftOut
    hasAccepted = false
    leftOut = isLeftOut ? leftOut + 1 : 0
    if (isLeftOut) {
      schedule()
      return
    }
    // Node itself allocates what it reads. V8 looks at the bytes of such short-lived buffers only when a script allocates one, and would
    // let tens of megabytes more of them pile up.
    Buffer.allocUnsafeSlow(1)
    // What a socket that is about to close would still bring is not needed.
    for (const socket of stopped.splice(isSlow ? -1 : -resumedPerTurn)) if (!socket.destroyed && !socket.writableEnded) resume(socket)
    const maxReads = isSlow ? 1 : maxReadsPerTurn
    for (let reads = 0; reads < maxReads && queue.length > 0;) {
      const next = queue.shift()
      if (next === undefined || next.socket.destroyed) continue
      waiting.delete(next.socket)
      reads += 1 + Math.floor(next.pieces() / piecesPerRead)
      next.onTurn()
      resume(next.socket)
    }
    schedule()
  }

  return {
    accept (socket) {
      accepted.add(socket)
      hasAccepted = true
      if (timer.now() < pressedUntilMs) {
        pause(socket)
        stopped.push(socket)
        schedule()
      }
      socket.once('close', () => {
        accepted.delete(socket)
        waiting.delete(socket)
      })
    },
    noteUnturned (bytes) {
      if (piecesInTurn === 0) setImmediate(() => { piecesInTurn = 0 })
      const before = piecesInTurn
      piecesInTurn += 1 + bytes / bytesPerPiece
      if (before < maxPiecesPerTurn && piecesInTurn >= maxPiecesPerTurn) stopOthers()
    },
    wait (socket, pieces, onTurn) {
      pause(socket)
      waiting.add(socket)
      queue.push({ socket, pieces, onTurn })
      schedule()
    }
  }
}
