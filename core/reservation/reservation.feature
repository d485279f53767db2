Feature: Reservations
  Scenario Outline: A reservation table of 2 seats and 100 pieces answers <steps>
    Given a reservation table of 2 seats and 100 pieces
    When the reservation steps "<steps>" run
    Then the reservation answers are "<answers>"
    And the reservation table has <seats> seats and <pieces> pieces free

    Examples: admission
      | steps                                      | answers                   | seats | pieces |
      | reserve a/1 x 60; reserve b/1 x 60         | ok; no_capacity           | 1     | 40     |
      | reserve a/1 x 1; reserve b/1 x 1; reserve c/1 x 1 | ok; ok; no_capacity | 0     | 98     |
      | reserve a/1 x 60; reserve a/1 x 60         | ok; ok                    | 1     | 40     |
      | reserve a/1 x 60; reserve a/1 y 60         | ok; stale                 | 1     | 40     |
      | reserve a/1 x NaN                          | no_capacity               | 2     | 100    |

    Examples: late and repeated messages
      | steps                                      | answers                   | seats | pieces |
      | release a/1; reserve a/1 x 60              | none; stale               | 2     | 100    |
      | reserve a/2 x 60; reserve a/1 x 10         | ok; stale                 | 1     | 40     |
      | reserve a/1 x 60; release a/1; reserve a/1 x 60; start a/1 | ok; freed; stale; stale | 2 | 100 |
      | reserve a/1 x 60; start a/1; start a/1     | ok; run_at_engine; none   | 1     | 40     |
      | reserve a/1 x 10; reserve a/2 x 10; start a/1 | ok; ok; stale          | 0     | 80     |

    Examples: memory stays used until the engine confirms
      | steps                                      | answers                   | seats | pieces |
      | reserve a/1 x 60; start a/1; release a/1; reserve b/1 x 60 | ok; run_at_engine; cancel_at_engine; no_capacity | 1 | 40 |
      | reserve a/1 x 60; start a/1; release a/1; confirmed a/1 | ok; run_at_engine; cancel_at_engine; true | 2 | 100 |
      | reserve a/1 x 60; start a/1; confirmed a/1 | ok; run_at_engine; false  | 1     | 40     |
      | reserve a/1 x 60; start a/1; finished a/1; finished a/1 | ok; run_at_engine; true; false | 2 | 100 |

    Examples: after the start of the agent
      | steps                                      | answers                   | seats | pieces |
      | adopt a/1 150; reserve b/1 x 1             | unclaimed a/1; no_capacity | 1    | 0      |
      | adopt a/1 60; claim a/1 x; claim a/1 y     | unclaimed a/1; ok; stale  | 1     | 40     |
      | release a/1; adopt a/1 60; claim a/1 x     | none; cancelling a/1; stale | 1   | 40     |

  Scenario: A reservation table ends everything that a lost entry owns
    Given a reservation table of 2 seats and 100 pieces
    When the reservation steps "reserve a/1 x 10; start a/1; reserve b/1 x 10; release_owner x" run
    Then the reservation answers are "ok; run_at_engine; ok; a/1 cancel_at_engine, b/1 freed"
    And the reservation table has 1 seats and 90 pieces free

  Scenario: A reservation table remembers a bounded number of ended requests
    Given a reservation table of 2 seats and 100 pieces that remembers 2 requests
    When the reservation steps "release a/1; release b/1; release c/1; reserve a/1 x 1; reserve c/1 x 1" run
    Then the reservation answers are "none; none; none; ok; stale"
