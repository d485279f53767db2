Feature: Clients that nobody controls neither end an entry nor take its memory and descriptors

  # One entry whose heap is bounded to 64 MiB and that takes 50 requests at once, with the crowds of gateway/crowd.feature. Nothing here
  # depends on how fast anything goes.

  @crowd
  Scenario Outline: An entry outlasts <clients> clients with <kind>
    Given a deployment whose entry has a heap of 64 MiB and takes 50 requests
    When <clients> clients press on that entry with "<kind>"
    Then that entry lives, has had at most 220 MiB of memory and 150 sockets, and answers a call

    Examples:
      | clients | kind                            |
      | 60      | whole bodies                    |
      | 60      | bodies in pieces                |
      | 60      | large chunks                    |
      | 40      | chunks of one byte              |
      | 40      | announced bodies over the limit |
      | 60      | chunked bodies over the limit   |
      | 300     | unfinished heads                |
      | 300     | silent connections              |
