/**
 * Reads the bodies of requests within a budget of bytes.
 */
import { createByteBuffer, createPiecePool } from '../core/stream/mod.ts'
import { createReadTurns } from './_read_turns.ts'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { ByteAccount, ByteBudget, ByteBuffer } from '../core/stream/mod.ts'
import type { Subscription, Timer } from '../timer/mod.ts'

/** Reasons for not reading a body to its end. */
export enum BodyFault {
  /** It is longer than the limit. */
  TooLong = 'body_too_large',
  /** The process holds too many bytes, and this body the most of them. */
  Crowded = 'memory_short',
  /** The process holds many bytes, and this body made no progress. */
  Stalled = 'body_too_slow',
  /** The connection ended before the body. */
  Broken = 'body_incomplete'
}

/** Configures the reading of one body. */
export interface ReadBodyOptions {
  /** Returns the limit in bytes in force. */
  maxBytes: () => number
  /** Rank among the bodies that are read; those of a higher number are given up first. 0 by default. */
  rank?: number
  /** Receives the body, which counts against the budget until the response has closed. Called at most once; not after a broken connection. */
  onBody: (body: Buffer) => void
  /** Receives the reason for which the body is not read to its end; the rest is discarded. Called at most once, in place of `onBody`. */
  onFault: (fault: BodyFault) => void
}

/** Reads bodies of requests. */
export interface BodyReader {
  /** Lets the connections of a server stop for others whose bodies come in very many pieces. */
  watch (server: Server): void
  /** Reads the body of a request. */
  read (req: IncomingMessage, res: ServerResponse, options: ReadBodyOptions): void
  /** Reads on, within bounds, and discards the rest of a body, so that its client reads the response before the connection closes. */
  discard (req: IncomingMessage): void
}

/** Configures a reader. */
export interface BodyReaderOptions {
  timer: Timer
  budget: ByteBudget
  /** Memory of the process in bytes from which on long bodies are read slowly; never by default. */
  slowFromBytes?: number
  /** Largest number of bytes of one body that are discarded before its connection is closed; 8 MiB by default. */
  maxDiscardedBytes?: number
  /** Called when the rest of a body is too long to be discarded. */
  onCut?: () => void
}

const defaultMaxDiscardedBytes = 8 * 1_048_576
/** Length in bytes up to which a body is given up only when no longer one is left, so that ordinary requests pass. */
const floorBytes = 16_384
/** Length in bytes up to which a body is read at once. */
const freeBytes = 16_384
/** Number of pieces of a body up to which it is read at once. */
const freePieces = 500
/** Least number of bytes that a body must bring in each span while many bytes are held; 1 KiB per second. */
const stallCheckMs = 2_000
const minBytesPerCheck = 2_048
const noBytes = Buffer.alloc(0)
/** Rank of a body without progress; above all others. */
const stalledRank = 1_000

/**
 * Creates a reader. Short bodies are read at once; long ones take turns, and those that hold the most are given up when all together
 * exceed the budget, those without progress first.
 *
 * @param options the timer and the budget
 * @returns the reader
 *
 * @example
 * ```ts
 * import { createByteBudget } from 'briarloom/core/stream'
 * import { createBodyReader } from 'briarloom/http'
 * import { createSystemTimer } from 'briarloom/timer'
 *
 * const reader = createBodyReader({ timer: createSystemTimer(), budget: createByteBudget({ maxBytes: 1_048_576 }) })
 * console.assert(typeof reader.read === 'function')
 * ```
 */
export function createBodyReader (options: BodyReaderOptions): BodyReader {
  const { timer, budget, maxDiscardedBytes = defaultMaxDiscardedBytes, onCut = () => {} } = options
  const turns = createReadTurns({ timer, memoryBytes: process.memoryUsage.rss, slowFromBytes: options.slowFromBytes ?? Infinity })
  const pieces = createPiecePool({ maxBytes: budget.maxBytes })

  /** Calls `onPiece` with each piece of a body; lets others take their turn between the reads of a long one. */
  function readInTurns (req: IncomingMessage, onPiece: (piece: Buffer) => void): void {
    let bytes = 0
    let pieces = 0
    let piecesOfTurn = 0
    let isWaiting = false
    let hasHadTurn = false
    req.on('data', (piece: Buffer) => {
      bytes += piece.length
      pieces++
      piecesOfTurn++
      onPiece(piece)
      if (!hasHadTurn && (bytes > freeBytes || pieces > freePieces)) turns.noteUnturned(piece.length)
      if (isWaiting || req.complete || req.socket.destroyed || (bytes <= freeBytes && pieces <= freePieces)) return
      isWaiting = true
      turns.wait(req.socket, () => piecesOfTurn, () => {
        isWaiting = false
        hasHadTurn = true
        piecesOfTurn = 0
      })
    })
  }

  /** Returns a function that counts the bytes that are discarded, and closes the connection after too many. */
  function countDiscarded (req: IncomingMessage): (bytes: number) => void {
    let left = maxDiscardedBytes
    return (bytes) => {
      left -= bytes
      if (left >= 0 || req.socket.destroyed) return
      onCut()
      req.socket.destroy()
    }
  }

  return {
    watch (server) { server.on('connection', turns.accept) },
    read (req, res, { maxBytes, rank = 0, onBody, onFault }) {
      /** The whole body so far, as long as it has come in one piece, which most bodies do. */
      let first: Buffer | undefined
      let buffer: ByteBuffer | undefined
      let account: ByteAccount | undefined
      let check: Subscription | undefined
      let isOver = false
      let isStalled = false
      let checkedBytes = 0
      const discarded = countDiscarded(req)

      function settle (): void {
        isOver = true
        check?.cancel()
      }

      function fail (fault: BodyFault): void {
        if (isOver) return
        settle()
        account?.close()
        buffer?.clear()
        first = undefined
        onFault(fault)
      }

      function countBytes (): number { return buffer?.length() ?? first?.length ?? 0 }

      /** Keeps a piece; returns the number of bytes of memory that the body takes. */
      function keep (piece: Buffer): number {
        if (first === undefined && buffer === undefined) {
          first = piece
          return piece.length
        }
        if (buffer === undefined) {
          buffer = createByteBuffer({ pieces })
          buffer.append(first as Buffer)
          first = undefined
        }
        buffer.append(piece)
        return buffer.capacity()
      }

      function checkProgress (): void {
        isStalled = countBytes() - checkedBytes < minBytesPerCheck
        checkedBytes = countBytes()
        if (isStalled && budget.isTight()) fail(BodyFault.Stalled)
      }

      function count (bytes: number): void {
        account ??= budget.open(() => fail(isStalled ? BodyFault.Stalled : BodyFault.Crowded), {
          floorBytes, rank: () => isOver ? undefined : isStalled ? stalledRank : 1 + rank
        })
        if (bytes > floorBytes) check ??= timer.every(stallCheckMs, checkProgress)
        account.set(bytes)
      }

      readInTurns(req, (piece) => {
        if (isOver) return discarded(piece.length)
        if (countBytes() + piece.length > maxBytes()) return fail(BodyFault.TooLong)
        count(keep(piece))
      })
      req.on('end', () => {
        if (isOver) return
        settle()
        const body = buffer?.take() ?? first ?? noBytes
        account?.set(body.length)
        onBody(body)
      })
      req.on('error', () => {}) // The response closes with the request, and that ends what is left.
      res.once('close', () => {
        fail(BodyFault.Broken)
        account?.close()
      })
      if (Number(req.headers['content-length'] ?? 0) > maxBytes()) fail(BodyFault.TooLong)
    },
    discard (req) {
      // Its body is read or discarded already.
      if (req.listenerCount('data') > 0) return
      const discarded = countDiscarded(req)
      readInTurns(req, (piece) => discarded(piece.length))
      req.on('error', () => {})
    }
  }
}
