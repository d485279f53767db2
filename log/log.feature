Feature: Log lines and remembered decisions
  Scenario: A log writes one line for a decision, with the runners-up and why they lost
    When a log writes a routing decision that chose "d1" over "d2" for "no seat"
    Then the log has one line that names "d1", "d2" and "no seat"

  Scenario Outline: A decision ring keeps the latest decisions only
    When a decision ring of size 4 receives <count> decisions about requests "a" and "b" in turn
    Then the decision ring finds the attempts "<attempts>" of request "a"

    Examples:
      | count | attempts |
      | 3     | 1 3      |
      | 9     | 7 9      |
