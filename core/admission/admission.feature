Feature: The admission queue
  Scenario Outline: An admission queue keeps its promises under random load
    Then admission with the policy "<policy>" holds its invariants in 300 random runs

    Examples:
      | policy |
      | tiered |
      | fifo   |

  Scenario: Admission of paid work pauses free work, and the free work still completes
    Given admission with 4 seats and 100 pieces, headroom 0.25 and pauses of up to 1000 ms
    When admission receives 3 free items and then more paid work than the seats can run for 20000 ms
    Then every free item of the admission queue finishes within 9000 ms
    And the admission queue has paused free work at least once

  Scenario: Admission shares seats between callers by their tokens
    Given admission with 4 seats and 4000 pieces, headroom 0 and pauses of up to 1000 ms
    When admission receives 200 items of 100 tokens from "notaires" and 200 of 400 tokens from "villes"
    Then the finished tokens of "notaires" and "villes" are in the ratio 1 within 10 percent

  Scenario: Admission refuses at once what would miss its deadline at the observed rate
    Given admission with 1 seats and 100 pieces, headroom 0 and pauses of up to 1000 ms
    When admission has passed 10 items of 100 ms each through a queue
    Then admission queues an item behind 5 waiting ones with 800 ms to its deadline and refuses one with 300 ms

  Scenario: Admission of paid work to a full queue refuses the newest free item of the busiest caller
    Given admission with 1 seats and 100 pieces, headroom 0 and pauses of up to 1000 ms
    When admission holds a full queue of free items "a1 b1 b2"
    Then admission queues the paid item "c1" and refuses "b2"

  Scenario: Admission forgets what was withdrawn
    Given admission with 1 seats and 100 pieces, headroom 0 and pauses of up to 1000 ms
    When admission holds a full queue of free items "a1 b1 b2"
    Then admission withdraws "b1" once and then the other items of its owner
