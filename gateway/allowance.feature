Feature: Gateways spend the allowances of organisations together

  Scenario: Two gateways spend one allowance, and refuse the rest at once without passing it on
    Given allowance gateways "a, b" with a sidecar, and 10 requests a second with a burst of 10 for "north"
    When an allowance caller of "north" sends 60 requests within 3 s to the gateways "a, b"
    Then between 34 and 48 of them were answered with 200 and the others with 429 and a Retry-After header of at most 0.24 s
    And the allowance worker got as many requests as were answered with 200
    And the allowance log of "a" has a refusal with the reason "allowance_spent", the organisation "north" and what is left

  Scenario: A hot organisation harms no other one
    Given allowance gateways "a, b" with a sidecar, and 10 requests a second with a burst of 10 for "north"
    When an allowance caller of "north" sends 210 requests within 3 s to the gateways "a, b" while "south" sends 20
    Then all 20 requests of "south" were answered with 200

  # A gateway that is started anew knows nothing of what it has spent before.
  Scenario: A gateway that is killed and started again under a hot caller does not spend the allowance twice
    Given allowance gateways "a, b" with a sidecar, and 10 requests a second with a burst of 10 for "north"
    When an allowance caller of "north" sends 60 requests within 3 s to the gateways "a, b", and "b" is started again after 1 s
    Then between 25 and 48 of them were answered with 200 and the others with 429 and a Retry-After header of at most 0.24 s

  Scenario: Gateways that lose the exchange point spend what is set aside, and the whole again when it is back
    Given allowance gateways "a, b" with a sidecar, and 10 requests a second with a burst of 10 for "north"
    When the exchange point of the allowance gateways is gone for 1500 ms
    And an allowance caller of "north" sends 60 requests within 3 s to the gateways "a, b"
    Then at most 6 of them were answered with 200
    And the newest line of the allowance log of "a" about exchange points is "exchange points not heard"
    When the exchange point of the allowance gateways is back for 1500 ms
    And an allowance caller of "north" sends 60 requests within 3 s to the gateways "a, b"
    Then between 34 and 48 of them were answered with 200 and the others with 429 and a Retry-After header of at most 0.24 s

  # An answer of a point that knows no limits would say that much is left of all.
  Scenario: An exchange point that does not know the rules does not answer
    Given allowance gateways "a" with a sidecar, and 10 requests a second with a burst of 10 for "north"
    When the exchange point of the allowance gateways is started again without rules for 1500 ms
    Then the newest line of the allowance log of "a" about exchange points is "exchange points not heard"

  Scenario: A request that no worker has run gives its part of the allowance back
    Given allowance gateways "a" with a sidecar, and 10 requests a second with a burst of 10 for "north"
    When the allowance worker turns all requests away
    And an allowance caller of "north" sends 60 requests within 1 s to the gateways "a"
    Then none of them was answered with 429
    When the allowance worker takes requests
    And an allowance caller of "north" sends 10 requests within 1 s to the gateways "a"
    Then none of them was answered with 429

  Scenario: Requests that no worker has run give their parts of the allowance back at a lower rate
    Given allowance gateways "a" with a sidecar, and 10 requests a second with a burst of 10 for "north"
    When the allowance worker turns all requests away
    And an allowance caller of "north" sends 50 requests within 2 s to the gateways "a"
    Then none of them was answered with 429
    When the allowance worker takes requests
    And an allowance caller of "north" sends 10 requests within 1 s to the gateways "a"
    Then none of them was answered with 429

  Scenario: A request is refused before its body is read
    Given allowance gateways "a" with a sidecar, and 1 requests a second with a burst of 10 for "north"
    When an allowance caller of "north" sends 60 requests within 1 s to the gateways "a"
    And an allowance caller of "north" announces a body that it does not send to the gateway "a"
    Then it is answered with 429 within 150 ms

  # Guards against sums that no exchange point accepts: it would close the connection, which also reserves memory.
  Scenario Outline: A request that states <counts> tokens is refused and harms no other
    Given allowance gateways "a" with a sidecar, and 100 tokens a second with a burst of 100 for "north"
    When an allowance caller of "north" sends a request of "<counts>" tokens to the gateway "a"
    Then it is answered with 429, and the exchange points stay heard
    When an allowance caller of "north" sends 10 requests within 1 s to the gateways "a"
    Then none of them was answered with 429

    Examples:
      | counts      |
      | 1e308,1e308 |
      | 1e200,0     |
