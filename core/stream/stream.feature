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
