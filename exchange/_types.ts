/**
 * Types of exchanges over kept connections.
 */

/** One request as it goes to a server. */
export interface ExchangeRequest {
  method: string
  path: string
  /** Names and values in turn. */
  headers: string[]
  body: Buffer | null
}

/** Says why an exchange failed. */
export enum FailureKind {
  /** No connection could be made; the server has seen nothing. */
  Unreachable = 'unreachable',
  /** The request itself is malformed; the server has seen nothing. */
  Malformed = 'malformed',
  /** The connection broke, or its bytes are no answer, after the request may have been read. */
  Broken = 'broken',
  /** No answer came in time. */
  TimedOut = 'timed_out'
}

/** Describes a failed exchange. */
export interface Failure {
  kind: FailureKind
  message: string
  /** True when the connection had carried an earlier exchange. */
  isReused: boolean
}

/** Gets what happens to an exchange; exactly one of `onEnd` and `onFail` ends it. */
export interface ExchangeHandlers {
  /** The answer begins; `unframed` when its body ends with the connection. Answering false ends the exchange as broken. */
  onHead (status: number, rawHeaders: string[], unframed: boolean): boolean
  onData (chunk: Buffer): void
  /** The answer is complete. */
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

/** Carries exchanges to servers, one at a time on a connection. */
export interface ExchangePool {
  send (address: string, req: ExchangeRequest, handlers: ExchangeHandlers): Exchange
  /** Closes the idle connections to an address, because it fell silent. */
  closeIdle (address: string): void
  close (): Promise<void>
}
