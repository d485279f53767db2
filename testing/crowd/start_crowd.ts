/**
 * Starts a crowd of clients that send as much as they can and end nothing.
 */
import { connect } from 'node:net'
import type { Socket } from 'node:net'

/** Names what the clients of a crowd send. */
export enum CrowdKind {
  /** Bodies of legal size with their length, at once, that stop just short of their end. */
  Whole = 'whole bodies',
  /** As `Whole`, piece by piece. */
  Pieces = 'bodies in pieces',
  /** Chunked bodies of legal size in large chunks that stop just short of their end. */
  LargeChunks = 'large chunks',
  /** Chunked bodies of legal size in chunks of one byte that stop just short of their end. */
  TinyChunks = 'chunks of one byte',
  /** Bodies far over the limit, with their length. */
  Announced = 'announced bodies over the limit',
  /** Bodies far over the limit, in chunks, that are just sent. */
  Over = 'chunked bodies over the limit',
  /** Heads of legal size that stop just short of their end. */
  Heads = 'unfinished heads',
  /** Frames of the protocol between processes, of legal size, that stop just short of their end. */
  Frames = 'unfinished frames',
  /** Connections on which nothing is sent. */
  Silent = 'silent connections'
}

/** Configures a crowd. */
export interface CrowdOptions {
  host: string
  port: number
  clients: number
  /** Limit on bodies in bytes. */
  maxBodyBytes: number
  /** Returns the first lines of the head of a client's request, without those about the body, each with its line end. */
  buildHead: (client: number) => string
}

/** Controls a crowd. */
export interface Crowd {
  /** Tells whether each client has sent all, or has lost its connection. */
  hasSentAll (): boolean
  /** Lists the statuses that the clients got, with the number of clients of each. */
  statuses (): { [status: string]: number }
  /** Closes all connections. */
  close (): void
}

interface Sending {
  /** Lines of the head about the body. */
  framing: string
  /** What is sent in place of the head. */
  first?: Buffer
  /** What is sent again and again, and how often. */
  part: Buffer
  parts: number
  /** Time in milliseconds between two parts. */
  gapMs?: number
  /** Number of bytes of the head that are not sent. */
  withheldBytes?: number
}

const partBytes = 65_536
const pieceBytes = 8_192
const tinyChunksPerPart = 200
/** How many times the limit is sent by the clients that ignore it. */
const overFactor = 10
const headPaddingBytes = 7_000

/** Length of a frame of 4 MiB, the largest that a process accepts. */
const frameHeader = Buffer.from([0, 0x40, 0, 0])

function buildChunk (bytes: number): Buffer {
  return Buffer.concat([Buffer.from(`${bytes.toString(16)}\r\n`), Buffer.alloc(bytes, 97), Buffer.from('\r\n')])
}

const chunked = 'Transfer-Encoding: chunked\r\n'

const sendings: { readonly [K in CrowdKind]: (maxBodyBytes: number) => Sending } = {
  [CrowdKind.Whole]: (max) => ({ framing: `Content-Length: ${max}\r\n`, part: Buffer.alloc(partBytes, 97), parts: max / partBytes - 1 }),
  [CrowdKind.Pieces]: (max) =>
    ({ framing: `Content-Length: ${max}\r\n`, part: Buffer.alloc(pieceBytes, 97), parts: max / pieceBytes - 1, gapMs: 1 }),
  [CrowdKind.LargeChunks]: (max) => ({ framing: chunked, part: buildChunk(partBytes), parts: max / partBytes - 1 }),
  [CrowdKind.TinyChunks]: (max) =>
    ({ framing: chunked, part: Buffer.concat(Array(tinyChunksPerPart).fill(buildChunk(1))), parts: Math.floor(max / tinyChunksPerPart) - 1 }),
  [CrowdKind.Announced]: (max) =>
    ({ framing: `Content-Length: ${overFactor * max}\r\n`, part: Buffer.alloc(partBytes, 97), parts: overFactor * max / partBytes }),
  [CrowdKind.Over]: (max) => ({ framing: chunked, part: buildChunk(partBytes), parts: overFactor * max / partBytes }),
  [CrowdKind.Heads]: () => ({ framing: `X-More: ${'a'.repeat(headPaddingBytes)}\r\n`, part: Buffer.alloc(0), parts: 0, withheldBytes: 2 }),
  [CrowdKind.Frames]: (max) => ({ framing: '', first: frameHeader, part: Buffer.alloc(partBytes, 97), parts: max / partBytes - 1 }),
  [CrowdKind.Silent]: () => ({ framing: '', part: Buffer.alloc(0), parts: 0, withheldBytes: Infinity })
}

/** Sends what one client sends; resolves when it has sent all or lost its connection. */
async function send (socket: Socket, head: string | Buffer, { part, parts, gapMs }: Sending): Promise<void> {
  socket.write(head)
  for (let sent = 0; sent < parts && !socket.destroyed; sent++) {
    if (!socket.write(part)) {
      await new Promise<void>((resolve) => {
        const proceed = (): void => {
          socket.off('drain', proceed).off('close', proceed)
          resolve()
        }
        socket.on('drain', proceed).on('close', proceed)
      })
    }
    if (gapMs !== undefined) await new Promise((resolve) => setTimeout(resolve, gapMs))
  }
}

/**
 * Starts a crowd. Its clients read what they get, and keep their connections open.
 *
 * @param kind what the clients send
 * @param options the address, the number of clients and the limit on bodies
 * @returns the crowd, whose clients connect at once
 *
 * @example
 * ```ts
 * import { CrowdKind, startCrowd } from 'briarloom/testing/crowd'
 *
 * const buildHead = (): string => 'POST / HTTP/1.1\r\nHost: a.example\r\n'
 * startCrowd(CrowdKind.Silent, { host: '127.0.0.1', port: 1, clients: 2, maxBodyBytes: 65_536, buildHead }).close()
 * ```
 */
export function startCrowd (kind: CrowdKind, { host, port, clients, maxBodyBytes, buildHead }: CrowdOptions): Crowd {
  const sending = sendings[kind](maxBodyBytes)
  const counts: { [status: string]: number } = {}
  let open = clients
  const sockets = Array.from({ length: clients }, (_, client) => {
    const socket = connect(port, host)
    let isDone = false
    let isAnswered = false
    const finish = (): void => {
      if (!isDone) open--
      isDone = true
    }
    socket.on('error', () => {}).on('close', finish)
    socket.on('data', (data) => {
      if (isAnswered) return
      isAnswered = true
      const status = data.toString('latin1', 9, 12)
      counts[status] = (counts[status] ?? 0) + 1
    })
    socket.once('connect', () => {
      const head = `${buildHead(client)}${sending.framing}\r\n`
      const sent = sending.first ?? head.slice(0, Math.max(0, head.length - (sending.withheldBytes ?? 0)))
      send(socket, sent, sending).then(finish, finish)
    })
    return socket
  })

  return {
    hasSentAll: () => open === 0,
    statuses: () => counts,
    close () { for (const socket of sockets) socket.destroy() }
  }
}
