Feature: The token assembler
  Scenario: The token assembler writes each token once whatever the order and the repeats
    Given the token assembler gets the batches of an answer of 40 tokens repeated and shuffled 500 times
    Then the token assembler returned each answer complete and once

  # Guards against an event without end, of which each new piece made the splitter copy all that came before: seconds of work for megabytes.
  Scenario: The work for an incomplete event grows with its length only
    Given an event splitter that has passed on the events 1 to 2
    When the event splitter gets an event of 4 MiB in 16384 pieces within 1000 ms
    Then the event splitter passes on the whole event

  Scenario: The events that are passed on do not depend on the pieces in which a stream comes
    Then an event splitter passes on the same of a stream in any pieces, and holds the rest

  # Guards against sound streams that never end for their clients, and broken ones that look complete, because of how their lines end.
  Scenario Outline: The end of an event is found in a stream <what>
    Then an event splitter passes on "<whole>" of "<whole><rest>" in any two pieces

    Examples:
      | what                                     | whole                                    | rest                     |
      | with LF                                  | id: 1\ndata: a\n\n                       | id: 2\ndata: b\n         |
      | with CR and LF                           | id: 1\r\ndata: a\r\n\r\n                 | id: 2\r\ndata: b\r\n     |
      | with CR                                  | id: 1\rdata: a\r\r                       | id: 2\rdata: b\r         |
      | with mixed line ends                     | id: 1\ndata: a\r\n\n                     | id: 2\rdata: b\n         |
      | that ends inside a line                  | data: a\r\n\r\n                          | dat                      |
      | that ends behind a field                 | data: a\n\n                              | retry: 100\n             |
      | with a further empty line                | data: a\r\n\r\n\r\n                      |                          |
      | that ends with a comment                 | data: a\n\n: end\n                       |                          |
      | that ends inside a comment               | data: a\n\n                              | : en                     |
      | with a comment inside an event           | data: a\n\n                              | id: 2\n: more\n          |
      | of comments only                         | : a\r\n: b\r                             |                          |
      | with a byte order mark                   | \ufeffdata: a\n\n                        | data: b                  |
      | with a byte order mark before a comment  | \ufeff: a\n                              | data: b\n                |
      | that begins with a part of such a mark   |                                          | \u00efdata: a\n           |

  # Guards against events that a client gets twice, or misses, because the last event that it has was not counted.
  Scenario Outline: The last event of a stream <what> is known, and a second source goes on behind it without a mark of its own
    Then an event splitter has the last event 2 after "<first>", and passes on "<second>" as "<passed on>"

    Examples:
      | what                   | first                                             | second                    | passed on           |
      | with CR and LF         | id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n  | id: 3\r\n\r\n             | id: 3\r\n\r\n       |
      | with CR                | id: 1\rdata: a\r\rid: 2\rdata: b\r\r              | id: 3\r\r                 | id: 3\r\r           |
      | with a byte order mark | \ufeffid: 2\n\n                                    | \ufeffid: 3\n\n            | id: 3\n\n           |

  # Guards against workers that each send a part of an event and no end, which together take the memory of the process.
  Scenario: Streams hold no more than the budget together, and those that hold little are not evicted for others
    Then a byte budget of 1000 bytes keeps to its bound whatever the accounts hold, and evicts the largest first

  # Guards against a stream that repeats events: its client would get them twice, or miss those that came with them.
  Scenario: A chunk with a repeated event is not passed on, and the stream may go on after the last event that was
    Given an event splitter that has passed on the events 1 to 2
    When the event splitter gets the events 3, 4, 3 in one chunk
    Then the event splitter passes on nothing, has a repeated event, and its last event is 2

  Scenario: A byte budget evicts by rank before size, small accounts last, and none without a rank
    Then byte budget accounts are evicted in the order of their ranks, and one without a rank never

  Scenario: A byte buffer returns what was added, in whatever pieces, and lends no memory that it has returned
    Then a byte buffer with a pool of pieces returns 200 random series of chunks unchanged, and holds at most 64 KiB more than their bytes

  Scenario: A process is divided so that its bounds fit into its machine
    Then a process of 178, 200 and 602 MiB and 4100 descriptors may hold 33, 44 and 245 MiB and take 1950 clients
