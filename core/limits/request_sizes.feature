Feature: Allowances hold for requests that count nothing, little or more than can be

  # Guards against costs that are no numbers any more in the sums of a gateway, which then refuses all that its organisation asks for.
  Scenario: Requests that count nothing are admitted, and those that count something as before
    Given a gateway of allowances that hears its points, with 1000 units per s
    Then 3000 requests that count 0 units are admitted, also when all is spent
    And the next request that counts 200 units is admitted

  Scenario Outline: A request that counts <cost> units, more than any window allows, is refused and leaves no trace
    Given a gateway of allowances that hears its points, with 1000 units per s
    When a request that counts <cost> units comes
    Then it is refused as "allowance_too_large" with a delay of 1 to 400 ms
    And the next request that counts 200 units is admitted
    And the points learn that 200 units were spent and offered

    Examples:
      | cost     |
      | 20000    |
      | 1e200    |
      | 1e308    |
      | Infinity |

  Scenario: One request is admitted though its limit is less than one in a window
    Given a gateway of allowances that hears its points, with 0.05 units per s
    Then the next request that counts 1 units is admitted

  # Guards against a time between reports that is longer than the levels are used, and against a point that states nonsense.
  Scenario Outline: A gateway hears its points although they count <gateways> gateways
    Given a gateway of allowances that hears its points, with 1000 units per s
    When its points count <gateways> gateways
    Then the gateway is not isolated for 10 s, with answers 60 ms after each report

    Examples:
      | gateways         |
      | 430              |
      | 1200             |
      | 9007199254740991 |

  # Guards against a peer whose numbers end the connections of all others, which also reserve memory.
  Scenario: What an exchange point answers is accepted by gateways, whatever the reports that it accepts state
    Then in 500 random series of accepted reports each answer of an exchange point of allowances is accepted

  Scenario: What an isolated gateway gets back it may spend again, and no more
    Then an isolated gateway that gets back all that it spent admits as much again, 5 times, and nothing beyond
