/**
 * Types of HTTP exchanges (one request and its response) over persistent connections.
 */

/** One HTTP request to a server. */
export interface ExchangeRequest {
  method: string
  path: string
  /** Header names and values, alternating. */
  headers: string[]
  body: Buffer | null
  /**
   * Numbers of the connections that have carried this request before; none of them carries it again, because a server may send a second
   * response to the earlier send there, which bears the same identifier. The pool adds the one that it takes.
   */
  usedConnections?: Set<number>
}

/** Reasons for the failure of an exchange. */
export enum FailureKind {
  /** No connection could be established; the server has received nothing. */
  Unreachable = 'unreachable',
  /** The request itself is malformed; the server has received nothing. */
  Malformed = 'malformed',
  /** The connection broke, or the response was invalid, after the server may have read the request. */
  Broken = 'broken',
  /** No complete response arrived in time. */
  TimedOut = 'timed_out',
  /** The request was not sent, because it was no longer allowed when the connection was ready; the server has received nothing. */
  Withheld = 'withheld'
}

/** Describes a failed exchange. */
export interface Failure {
  kind: FailureKind
  message: string
  /** True when the connection had already carried an earlier exchange. */
  isReused: boolean
}

/** How a response arrives. */
export interface ResponseFraming {
  /** True when the body ends with the connection, for lack of a length. */
  isCloseDelimited: boolean
  /** True when the connection has carried an earlier exchange, whose server may have sent more than one response. */
  isReused: boolean
  /** Number of the connection in its pool, for the log. */
  connection: number
}

/** Receives the events of an exchange. Unless it is aborted, it ends with exactly one call of `onEnd` or `onFail`. */
export interface ExchangeHandlers {
  /** Called just before the request is written; returning false fails the exchange as withheld. */
  mayStart? (): boolean
  /** Receives the response head. Returning false fails the exchange as broken. */
  onHead (status: number, rawHeaders: string[], framing: ResponseFraming): boolean
  onData (chunk: Buffer): void
  /** Called when the response is complete. */
  onEnd (): void
  onFail (failure: Failure): void
}

/** Controls one exchange. */
export interface Exchange {
  /** Ends the exchange and closes its connection; no handler is called afterwards. */
  abort (): void
  pause (): void
  resume (): void
}

/** Sends requests over persistent connections, each of which carries one exchange at a time. */
export interface ExchangePool {
  send (address: string, req: ExchangeRequest, handlers: ExchangeHandlers): Exchange
  /** Closes the idle connections to an address that has stopped responding. */
  closeIdle (address: string): void
  close (): Promise<void>
}
