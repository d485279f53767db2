/**
 * Failures of frames, messages and connections.
 */

/** Names the kinds of failures of frames, messages and connections. */
export enum WireErrorKind {
  /** A frame is longer than the limit. */
  FrameTooLarge = 'frame_too_large',
  /** The body of a frame is not valid CBOR, or uses tags, indefinite lengths or too deep nesting. */
  BadFrame = 'bad_frame',
  /** A decoded value is not a message of the protocol. */
  BadMessage = 'bad_message',
  /** An address is not of the form `ip:port`. */
  BadAddress = 'bad_address',
  /** The connection could not be established, or the TLS-PSK handshake failed. */
  ConnectFailed = 'connect_failed',
  /** The connection was not established in time. */
  TimedOut = 'timed_out',
  /** The address could not be bound. */
  ListenFailed = 'listen_failed'
}

/** Describes a failure of a frame, a message or a connection. */
export interface WireError {
  kind: WireErrorKind
  message: string
}
