/**
 * Pieces of memory that are used again.
 */

/** Length in bytes of each piece. */
export const pieceBytes = 65_536

/** Lends pieces of memory. */
export interface PiecePool {
  /** Returns a piece whose bytes are undefined. */
  take (): Buffer
  /** Takes back a piece, which its borrower must not use any more. */
  give (piece: Buffer): void
}

/** Configures a pool. */
export interface PiecePoolOptions {
  /** Largest number of bytes that the pool keeps. */
  maxBytes: number
}

/**
 * Creates an empty pool. Memory outside the heap that is let go of counts until the next collection of garbage, which may come tens of
 * megabytes later; what is used again does not.
 *
 * @param options how much the pool keeps
 * @returns the pool
 *
 * @example
 * ```ts
 * import { createPiecePool } from 'briarloom/core/stream'
 *
 * const pool = createPiecePool({ maxBytes: 1_048_576 })
 * const piece = pool.take()
 * pool.give(piece)
 * console.assert(pool.take() === piece)
 * ```
 */
export function createPiecePool ({ maxBytes }: PiecePoolOptions): PiecePool {
  const kept: Buffer[] = []
  return {
    take: () => kept.pop() ?? Buffer.allocUnsafeSlow(pieceBytes),
    give (piece) { if ((kept.length + 1) * pieceBytes <= maxBytes) kept.push(piece) }
  }
}
