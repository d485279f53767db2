Feature: Allowances over gateways that share no state
  Scenario Outline: Allowances are served between 95 and 105 percent to a caller that asks for more, at <gateways> gateways, <shape>
    Given allowances of 100000 units per s at <gateways> gateways
    When a caller asks for <times> times its allowance for 30 s, spread over the gateways "<shape>"
    Then the allowances admit between 95 and 105 percent over the last 20 s

    Examples:
      | gateways | times | shape |
      | 22       | 4     | even  |
      | 22       | 7     | one   |
      | 78       | 4     | even  |
      | 78       | 4     | skew  |
      | 430      | 4     | even  |
      | 430      | 7     | one   |

  Scenario Outline: Allowances refuse few requests of a caller that stays below, at <gateways> gateways
    Given allowances of 20000 units per s at <gateways> gateways
    When a caller asks for 0.6 times its allowance for 60 s, spread over the gateways "even"
    Then the allowances refuse at most 1 percent

    Examples:
      | gateways |
      | 22       |
      | 78       |
      | 430      |

  Scenario: Allowances follow a caller that becomes hot or moves within a second
    Given allowances of 100000 units per s at 78 gateways
    When a caller asks for 0.5 times its allowance for 10 s, spread over the gateways "even"
    And a caller asks for 4 times its allowance for 3 s, spread over the gateways "one"
    And a caller asks for 4 times its allowance for 9 s, spread over the gateways "last"
    Then the allowances admit between 95 and 105 percent over the last 8 s

  Scenario Outline: Allowances of <gateways> gateways hold after a limit fell far below the demand
    Given allowances of 100000 units per s at <gateways> gateways
    When a caller asks for <times> times its allowance for 10 s, spread over the gateways "even"
    And the allowances fall to 10000 units per s
    And a caller asks for <then> times its allowance for 10 s, spread over the gateways "even"
    Then the allowances admit between 80 and <most> percent over the last 9 s
    And no window of the allowances is beyond their tolerance

    Examples:
      | gateways | times | then | most |
      | 30       | 0.6   | 6    | 160  |
      | 30       | 4     | 40   | 120  |
      | 430      | 4     | 40   | 120  |

  Scenario: Allowances of gateways without exchange points stay within what is set aside
    Given allowances of 20000 units per s at 30 gateways
    When the exchange points of the allowances are lost after 5 s
    And a caller asks for 4 times its allowance for 30 s, spread over the gateways "even"
    Then the allowances of isolated gateways admit less than 0.3 of the tolerance in any 8 s
    And the gateways know that they are isolated from the exchange points

  # Two sides of a cut must not both spend the whole.
  Scenario: Allowances are spent once when a region is cut off with one of the points
    Given allowances of 20000 units per s at 30 gateways
    When half of the gateways and one point of the allowances are cut off from the others
    And a caller asks for 8 times its allowance for 30 s, spread over the gateways "even"
    Then the allowances admit between 95 and 140 percent over the last 20 s
    And no window of the allowances is beyond their tolerance

  Scenario: Allowances that were given back are spent by others
    Given allowances of 100000 units per s at 22 gateways
    When a caller asks for 8 times its allowance for 30 s, half of it given back
    Then the allowances admit between 90 and 110 percent over the last 20 s

  Scenario: A point of the allowances that was frozen refuses nothing that is free
    Given allowances of 100000 units per s at 22 gateways
    When a point of the allowances is frozen for 6 s under 4 times the demand
    And a caller asks for 4 times its allowance for 2 s, spread over the gateways "even"
    Then the allowances admit between 80 and 120 percent over the last 2 s

  Scenario: Allowances stay within their tolerance whatever becomes of gateways, points and links
    Then allowances stay within their tolerance in 150 random histories

  Scenario: A refused caller is told when its allowance holds again, and callers that are refused together return apart
    Then the delays of refused requests grow with what is spent, differ, and stay below what the caller honours

  Scenario: Reports of allowances that are late, repeated or of an earlier life change nothing
    Then an exchange point of allowances ignores old reports and asks an unknown gateway for a full one
