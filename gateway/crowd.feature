Feature: Clients that nobody controls neither end the gateway nor take its memory and descriptors

  # The process of the deploy file on a machine of 160 MiB and 320 descriptors, of which 200 are for files. The crowds send what a client may
  # send, or far more, as fast as they can, and stop short of the end. Nothing here depends on how fast anything goes.

  @crowd
  Scenario Outline: A gateway outlasts <clients> clients with <kind>
    Given a gateway process with 160 MiB of memory and 320 descriptors
    When <clients> clients press on its "front" with "<kind>"
    Then the gateway process lives, has had at most 160 MiB of memory and 120 sockets, and answers a request

    Examples:
      | clients | kind                            |
      | 40      | whole bodies                    |
      | 40      | bodies in pieces                |
      | 40      | large chunks                    |
      | 40      | chunks of one byte              |
      | 40      | announced bodies over the limit |
      | 60      | chunked bodies over the limit   |
      | 200     | unfinished heads                |
      | 200     | silent connections              |

  @crowd
  Scenario Outline: A gateway outlasts <clients> clients with <kind> at its address "<address>"
    Given a gateway process with 160 MiB of memory and 320 descriptors
    When <clients> clients press on its "<address>" with "<kind>"
    Then the gateway process lives, has had at most 160 MiB of memory and 120 sockets, and answers a request

    Examples:
      | clients | address  | kind                          |
      | 200     | ready    | unfinished heads              |
      | 60      | ready    | chunked bodies over the limit |
      | 200     | metrics  | unfinished heads              |
      | 200     | control  | silent connections            |
      | 40      | control  | unfinished frames             |

  @crowd
  Scenario: A single body of legal size in chunks of one byte is served whole
    Given a gateway process with 160 MiB of memory and 320 descriptors
    When a client sends a body of 4 MiB in chunks of one byte
    Then the worker of the gateway process got that body whole, and its client 200
    And the gateway process lives, has had at most 160 MiB of memory and 120 sockets, and answers a request
