/**
 * Stands in for a worker of the platform, plain or an engine, which misbehaves as told.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

/** Names how a worker answers a request. */
export enum WorkerMode {
  Good = 'good',
  /** Refuses and says that the request has not run. */
  Full = 'full',
  /** Answers 500 with a seal. */
  Error = 'error',
  /** Runs the request and resets the connection. */
  Reset = 'reset',
  /** Never answers. */
  Hang = 'hang',
  /** Sends half of the body, which has a length, and closes. */
  TruncatedBody = 'short',
  /** Sends part of a chunked body and closes in order. */
  TruncatedChunks = 'cut_chunks',
  /** Sends a body without a length and closes in order. */
  CloseDelimited = 'unframed',
  /** Sends part of a body without a length and resets the connection. */
  CloseDelimitedReset = 'unframed_reset',
  /** Names a content encoding. */
  Encoded = 'encoded',
  /** Sends the answer of another request first. */
  OtherResponse = 'extra'
}

/** One request as the worker saw it. */
export interface ReceivedRequest {
  method: string
  path: string
  headers: IncomingMessage['headers']
  body: string
  /** True once the connection closed before the answer was complete. */
  isAborted: boolean
}

/** A worker that tests control. */
export interface FakeWorker {
  readonly id: string
  readonly address: string
  /** Requests that reached it, without calls about memory, reports and orders. */
  listRequests (): ReceivedRequest[]
  /** Calls about memory, reports and orders: method and path, with the body. */
  listControlCalls (): Array<{ call: string, body: string }>
  setMode (...modes: WorkerMode[]): void
  /** Sets how many tokens reservations may take in all. */
  setReservableTokens (tokens: number): void
  setStage (stage: string): void
  /** Resets the connection of the next streams after an event, `times` times. */
  resetAfterEvent (event: number, times: number): void
  /** Sets how long a prefill takes, in milliseconds. */
  setPrefillMs (ms: number): void
  /** The entry as the worker writes it to the store. */
  buildEntry (fields?: object): string
  close (): Promise<void>
}

/** Configures a worker. */
export interface FakeWorkerOptions {
  id: string
  service: string
  zone?: string
  stage?: 'prefill' | 'decode'
  /** Events of a stream and the time in milliseconds between them. */
  events?: number
  eventMs?: number
  /** Bytes of padding in each event. */
  eventBytes?: number
}

const answerText = 'signed'

/** Starts a worker on the loopback address. */
export async function startWorker (options: FakeWorkerOptions): Promise<FakeWorker> {
  const { id, service, zone = 'levis', events = 3, eventMs = 5, eventBytes = 0 } = options
  const seen: ReceivedRequest[] = []
  const calls: Array<{ call: string, body: string }> = []
  let modes: WorkerMode[] = [WorkerMode.Good]
  let stage = options.stage
  let memory = 100_000
  let holds = 0
  let orders = 0
  let readMs = 0
  let cut = { event: 0, times: 0 }
  const running = new Set<string>()

  function head (req: IncomingMessage, extra: object = {}): Record<string, string> {
    return { 'X-Request-Id': String(req.headers['x-request-id']), 'X-Server-Seal': `seal-${id}`, ...extra }
  }

  function raw (socket: Socket, req: IncomingMessage, lines: string[], body: string): void {
    const first = ['HTTP/1.1 200 OK', `X-Request-Id: ${req.headers['x-request-id']}`, `X-Server-Seal: seal-${id}`]
    socket.write(`${[...first, ...lines].join('\r\n')}\r\n\r\n${body}`)
  }

  const answers: { readonly [K in WorkerMode]: (req: IncomingMessage, res: ServerResponse) => void } = {
    [WorkerMode.Good]: (req, res) => {
      res.writeHead(200, head(req, { 'Content-Length': answerText.length }))
      res.end(answerText)
    },
    [WorkerMode.Full]: (req, res) => {
      res.writeHead(503, { 'X-Not-Executed': '1', 'X-Request-Id': String(req.headers['x-request-id']), 'Content-Length': 0 })
      res.end()
    },
    [WorkerMode.Error]: (req, res) => {
      res.writeHead(500, head(req, { 'Content-Length': 3 }))
      res.end('bad')
    },
    [WorkerMode.Reset]: (req) => { req.socket.resetAndDestroy() },
    [WorkerMode.Hang]: () => {},
    [WorkerMode.TruncatedBody]: (req) => {
      raw(req.socket, req, ['Content-Length: 6'], 'sig')
      req.socket.end()
    },
    [WorkerMode.TruncatedChunks]: (req) => {
      raw(req.socket, req, ['Transfer-Encoding: chunked', 'Connection: close'], '3\r\nsig\r\n')
      req.socket.end()
    },
    [WorkerMode.CloseDelimited]: (req) => {
      raw(req.socket, req, ['Connection: close'], answerText)
      req.socket.end()
    },
    [WorkerMode.CloseDelimitedReset]: (req) => {
      raw(req.socket, req, ['Connection: close'], 'sig')
      setTimeout(() => req.socket.resetAndDestroy(), 20)
    },
    [WorkerMode.Encoded]: (req, res) => {
      res.writeHead(200, head(req, { 'Content-Encoding': 'gzip', 'Content-Length': answerText.length }))
      res.end(answerText)
    },
    [WorkerMode.OtherResponse]: (req, res) => {
      res.writeHead(200, { 'X-Request-Id': 'another', 'X-Server-Seal': 'seal-other', 'Content-Length': 5 })
      res.end('other')
    }
  }

  function stream (req: IncomingMessage, res: ServerResponse): void {
    const first = Number(req.headers['last-event-id'] ?? 0)
    running.add(String(req.headers['x-request-id']))
    res.writeHead(200, head(req, { 'Content-Type': 'text/event-stream' }))
    let event = first
    const timer = setInterval(() => {
      event++
      res.write(`id: ${event}\ndata: piece ${event}${'.'.repeat(eventBytes)}\n\n`)
      if (cut.times > 0 && event === cut.event) {
        cut.times--
        clearInterval(timer)
        // Half of the next event is on its way when the engine is lost.
        res.write(`id: ${event + 1}\nda`)
        setTimeout(() => res.socket?.resetAndDestroy(), eventMs)
        return
      }
      if (event < events) return
      clearInterval(timer)
      res.end()
    }, eventMs)
    res.on('close', () => {
      clearInterval(timer)
      running.delete(String(req.headers['x-request-id']))
    })
  }

  function json (res: ServerResponse, status: number, body: object): void {
    const text = JSON.stringify(body)
    res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': text.length })
    res.end(text)
  }

  function report (): object {
    const runs = [...running].map((run) => [run, 100, 1, 5])
    return {
      stage, models: [], busy: false, sequence: orders, waiting: 0, running: running.size, kv_used: 0, kv_total: memory, held: 0, handles: 0, runs
    }
  }

  const control: { readonly [call: string]: (res: ServerResponse, body: string) => void } = {
    'GET /v1/report': (res) => json(res, 200, report()),
    'POST /v1/order': (res, body) => {
      orders++
      stage = JSON.parse(body).stage
      json(res, 202, {})
    },
    'POST /v1/hold-take': (res, body) => {
      const { tokens } = JSON.parse(body)
      if (tokens > memory) return json(res, 503, {})
      json(res, 200, { hold: `hold-${++holds}` })
    }
  }

  const server: Server = createServer((req, res) => {
    const chunks: Buffer[] = []
    req.on('data', (chunk) => chunks.push(chunk))
    req.on('end', () => {
      const body = Buffer.concat(chunks).toString()
      const call = `${req.method} ${req.url}`
      if (req.url?.startsWith('/v1/')) {
        calls.push({ call, body })
        return (control[call] ?? ((gone: ServerResponse) => json(gone, 200, {})))(res, body)
      }
      const request: ReceivedRequest = { method: req.method ?? '', path: req.url ?? '', headers: req.headers, body, isAborted: false }
      seen.push(request)
      res.on('close', () => { request.isAborted = !res.writableFinished })
      const mode = modes.length > 1 ? modes.shift() as WorkerMode : modes[0] as WorkerMode
      if (mode !== WorkerMode.Good || stage === undefined) return answers[mode](req, res)
      if (req.headers['x-stage'] === 'prefill') {
        const handle = { kv_cache_handle: `kv-${seen.length}`, tokens: 10, version: 1 }
        setTimeout(() => json(res, 200, handle), readMs)
        return
      }
      stream(req, res)
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`

  return {
    id,
    address,
    listRequests: () => seen,
    listControlCalls: () => calls,
    setMode (...next) { modes = next },
    setReservableTokens (tokens) { memory = tokens },
    resetAfterEvent (event, times) { cut = { event, times } },
    setPrefillMs (ms) { readMs = ms },
    setStage (next) { stage = next as 'prefill' | 'decode' },
    buildEntry: (fields = {}) => JSON.stringify({
      service,
      address,
      zone,
      version: 'v1',
      slots: 6,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: 0,
      born: 1,
      ...(stage === undefined ? {} : { stage, models: [] }),
      ...fields
    }),
    async close () {
      server.closeAllConnections()
      await new Promise((resolve) => server.close(resolve))
    }
  }
}
