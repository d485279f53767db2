@wire
Feature: Wire frames, messages and connections
  Scenario Outline: A wire frame decoder joins frames however the stream is cut
    When wire frames of 5 messages arrive in pieces of <bytes> bytes
    Then the wire decoder returned the 5 messages in order

    Examples:
      | bytes |
      | 1     |
      | 7     |
      | 4096  |

  Scenario Outline: A wire frame decoder answers bad bytes with an error value
    When a wire decoder with a limit of 1000 bytes gets the hexadecimal bytes "<bytes>"
    Then the wire decoder returned the error "<error>"

    Examples: a long frame, an array that announces 2^32 - 1 items, a tag, a truncated map, an indefinite length
      | bytes              | error           |
      | 000003e9           | frame_too_large |
      | 000000059affffffff | bad_frame       |
      | 00000003c10000     | bad_frame       |
      | 00000002a261       | bad_frame       |
      | 000000029fff       | bad_frame       |

  Scenario: A wire frame that nests deeply is refused
    When a wire frame holds 5000 nested arrays
    Then the wire decoder returned the error "bad_frame"

  Scenario: A wire frame with a big integer, which takes quadratic time to decode, is refused
    When a wire frame holds a big integer of 65536 bytes
    Then the wire decoder returned the error "bad_frame"

  Scenario Outline: A wire message with a wrong field is refused by name
    When a wire message "resume" has the field "<field>" set to <value>
    Then the error of the wire validator names "<field>"

    Examples:
      | field     | value   |
      | requestId | 7       |
      | attempt   | -1      |
      | offset    | "x"     |
      | kind      | "bogus" |

  Scenario Outline: Wire messages cross a connection once and in order
    Given a wire listener with the key "<listener>"
    When a wire connection with the key "<caller>" carries 2000 messages each way
    Then both ends of the wire connection received all messages in order

    Examples:
      | listener | caller |
      | none     | none   |
      | a1b2c3   | a1b2c3 |

  Scenario Outline: A wire listener with a key refuses who does not hold it
    Given a wire listener with the key "a1b2c3"
    When a wire connection with the key "<caller>" sends a message
    Then the wire listener accepted no connection and the wire connection is closed

    Examples:
      | caller |
      | none   |
      | ffffff |

  Scenario: A wire connection closes on a malformed message and keeps the reason
    Given a wire listener with the key "none"
    When a wire peer sends a frame that is not a message
    Then the wire connection closed with a reason that names "kind"

  Scenario: A wire connection to a peer that reads nothing refuses to buffer without bound
    Given a wire listener with the key "none"
    When a wire connection with a limit of 100000 bytes sends to a peer that reads nothing
    Then the wire connection refuses messages and buffers at most 250000 bytes

  # Guards against a small message that takes much memory, and against packed text that no check has seen.
  Scenario Outline: Packed changes that are <what> are refused
    Then the wire refuses packed changes that are <what>

    Examples:
      | what                 |
      | no gzip              |
      | no JSON              |
      | cut off              |
      | larger than 16 MiB   |
      | without a revision   |
      | with a nested value  |

  Scenario: Packed changes are unpacked as they were
    Then in 200 random lists of changes the wire unpacks what it has packed
