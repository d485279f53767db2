/**
 * Failures of frames, messages and connections.
 */

/** Names the kinds of failures between processes. */
export enum WireErrorKind {
  /** A frame is longer than the bound. */
  FrameTooLarge = 'frame_too_large',
  /** The bytes of a frame are no valid CBOR of the shape in use. */
  BadFrame = 'bad_frame',
  /** A decoded value is no message of the protocol. */
  BadMessage = 'bad_message',
  /** An address is not of the form `ip:port`. */
  BadAddress = 'bad_address',
  /** The connection could not be made, or the peer failed the TLS-PSK handshake. */
  ConnectFailed = 'connect_failed',
  /** The connection was not made in time. */
  TimedOut = 'timed_out',
  /** The address could not be bound. */
  ListenFailed = 'listen_failed'
}

/** Describes a failure between processes. */
export interface WireError {
  kind: WireErrorKind
  message: string
}
