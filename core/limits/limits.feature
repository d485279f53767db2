Feature: Limits across entries
  Scenario Outline: Limits hold within 5 percent in a steady state, however the balancer spreads the load
    Given limits of 100 requests and 20000 tokens per s at <entries> entries
    When a caller offers <times> times the limits for 30 s, split between the entries as "<split>"
    Then the limits admit between 95 and 105 percent over the last 20 s

    Examples:
      | entries | times | split   |
      | 1       | 2     | 1       |
      | 3       | 2     | 1 1 1   |
      | 3       | 2     | 8 1 1   |
      | 3       | 2     | 1 0 0   |
      | 4       | 1.5   | 4 3 2 1 |

  Scenario: Limits stay within their stated bound while entries come, go and lose each other
    Then limits stay within their stated bound in 60 random histories

  Scenario: Limits hold between entries that lost each other before the demand moved
    Given limits of 100 requests and 20000 tokens per s at 2 entries
    When a caller offers 2 times the limits for 5 s, split between the entries as "1 0"
    And the entries of the limits lose their connections to each other
    And a caller offers 4 times the limits for 10 s, split between the entries as "1 1"
    Then the limits admit between 95 and 105 percent over the last 8 s

  Scenario Outline: Limits of concurrency are never exceeded while entries hear each other
    Then limits of <limit> requests at a time hold at <entries> entries in 100 random histories

    Examples:
      | limit | entries |
      | 1     | 3       |
      | 10    | 4       |

  Scenario: Limits of concurrency follow the demand to one entry
    Given limits of 8 requests at a time at 4 entries
    When a caller sends everything to one entry for 1000 ms
    Then the limits let 8 requests run at that entry

  Scenario: Limits count the tokens that were used
    Given limits of 100 requests and 20000 tokens per s at 1 entries
    When a caller is admitted with 1000 tokens and used 21000
    Then the limits refuse the caller for 800 to 1100 ms
