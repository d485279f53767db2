Feature: Tickets
  Scenario Outline: A ticket that is kept 1000 ms answers <steps>
    Given a ticket table that keeps 2 tickets for 1000 ms
    When the ticket steps "<steps>" run
    Then the ticket answers are "<answers>"

    Examples: at most one run
      | steps                                                    | answers                     |
      | begin 1; begin 2                                         | run; wait                   |
      | begin 1; begin 5000                                      | run; wait                   |
      | begin 1; record 2 done; begin 3                          | run; ok; replay done        |
      | begin 1; record 2 unknown; begin 3                       | run; ok; replay unknown     |
      | begin 1; record 2 done; record 3 unknown; begin 4        | run; ok; ok; replay done    |
      | begin 1; record 2 done; begin 1002                       | run; ok; unknown            |
      | stranger 1; begin 2                                      | unknown; run                |

    Examples: the outcome not_run is certain and final
      | steps                                                    | answers                     |
      | void 1; begin 2; void 3                                  | not_run; refuse; not_run    |
      | begin 1000; begin 1001                                   | refuse; refuse              |
      | begin 1000; begin 2000                                   | refuse; unknown             |
      | begin 1; void 2                                          | run; unknown                |
      | begin 1; record 2 done; void 3                           | run; ok; done               |
      | begin 1; record 2 not_run; begin 3                       | run; ok; refuse             |
      | restart; begin 1; void 2                                 | ok; unknown; unknown        |

    Examples: memory is bounded
      | steps                                                    | answers                     |
      | issue 1; issue 2; issue 2000                             | ok; no_capacity; ok         |

  Scenario Outline: The text <text> of a ticket is parsed
    Then the ticket "<text>" was issued by "<issuer>"

    Examples:
      | text                | issuer          |
      | registre-1.a.2.x7   | registre-1 10 2 |
      | a.b.c.1.2.N_-       | a.b.c 1 2       |
      | registre-1.a.2      | none            |
      | a.zzzzzzzzzzzz.1.x  | none            |
