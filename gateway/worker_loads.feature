Feature: Gateways learn through exchange points what all of them have at workers

  Background:
    Given 3 load points and the load gateways "a" and "b"

  Scenario: A gateway knows within 350 ms what another one has sent
    When the load gateway "a" sends 5 requests to "w", and "b" sends 1 to "v"
    And 350 ms pass at the load gateways
    Then the load gateway "b" sees 5 requests at "w" and 1 at "v"
    When the load gateway "a" ends 3 requests
    And 350 ms pass at the load gateways
    Then the load gateway "b" sees 2 requests at "w" and 1 at "v"

  # Guards against a gateway that follows a point which takes its reports and answers nothing.
  Scenario Outline: A point that is <fault> is replaced by the next
    When the load gateway "a" sends 5 requests to "w", and "b" sends 1 to "v"
    And the first load point is <fault>
    And <ms> ms pass at the load gateways
    Then the load gateway "b" sees 5 requests at "w" and 1 at "v"

    Examples:
      | fault   | ms  |
      | dead    | 350 |
      | frozen  | 900 |
      | renewed | 350 |

  Scenario: Without any point nothing is known, and loads are not used
    When the load gateway "a" sends 5 requests to "w", and "b" sends 1 to "v"
    And 350 ms pass at the load gateways
    And all load points are dead
    And 1500 ms pass at the load gateways
    Then the load gateway "b" knows nothing of the others

  # Guards against requests of a dead gateway that keep a worker from being chosen, and against those of its earlier life.
  Scenario: What a gateway had counts until it is silent for 1.5 s, or starts again
    When the load gateway "a" sends 5 requests to "w", and "b" sends 1 to "v"
    And 350 ms pass at the load gateways
    And the load gateway "a" is replaced by one that starts 20 ms later and sends 2 requests to "w"
    And 350 ms pass at the load gateways
    Then the load gateway "b" sees 2 requests at "w" and 1 at "v"
    When the load gateway "a" ends without a word
    And 1800 ms pass at the load gateways
    Then the load gateway "b" sees 0 requests at "w" and 1 at "v"

  Scenario: A gateway without requests reports nothing
    When 3000 ms pass at the load gateways
    Then the load gateways have sent 0 reports

  Scenario: A request that can't be served in time is refused at once, and told when to come back
    When the load gateway "a" sends 29 requests to "w", and "b" sends 29 to "v"
    And 350 ms pass at the load gateways
    And the load gateway "b" places a request with a target of 100 ms and a deadline of 4000 ms
    Then within 50 ms it is refused with a time to come back of at most 1333 ms

  Scenario: A request waits for a moment for a worker that becomes free
    When the load gateway "a" sends 29 requests to "w", and "b" sends 29 to "v"
    And 350 ms pass at the load gateways
    And the load gateway "b" places a request with a target of 100 ms and a deadline of 4000 ms
    And the load gateway "b" ends 29 requests
    Then within 50 ms it is sent to "v"

  # Guards against a request that waits on after its client has left.
  Scenario: A request whose client leaves while it waits is not sent
    When the load gateway "a" sends 29 requests to "w", and "b" sends 29 to "v"
    And 350 ms pass at the load gateways
    And the load gateway "b" places a request with a target of 100 ms and a deadline of 4000 ms
    And its client leaves
    Then within 50 ms it ends with "client_left"
    And no request waits at the load gateway
