Feature: Gateways learn through exchange points what all of them have at workers

  Background:
    Given 3 load points and the load gateways "a" and "b"

  Scenario: A gateway knows within 200 ms what another one has sent
    When the load gateway "a" sends 5 requests to "w", and "b" sends 1 to "v"
    And 250 ms pass at the load gateways
    Then the load gateway "b" sees 5 requests at "w" and 1 at "v"
    When the load gateway "a" ends 3 requests
    And 250 ms pass at the load gateways
    Then the load gateway "b" sees 2 requests at "w" and 1 at "v"

  # Guards against a gateway that follows a point which takes its reports and answers nothing.
  Scenario Outline: A point that is <fault> is replaced by the next
    When the load gateway "a" sends 5 requests to "w", and "b" sends 1 to "v"
    And the first load point is <fault>
    And <ms> ms pass at the load gateways
    Then the load gateway "b" sees 5 requests at "w" and 1 at "v"

    Examples:
      | fault   | ms  |
      | dead    | 250 |
      | frozen  | 700 |
      | renewed | 250 |

  Scenario: Without any point nothing is known, and loads are not used
    When the load gateway "a" sends 5 requests to "w", and "b" sends 1 to "v"
    And 250 ms pass at the load gateways
    And all load points are dead
    And 1500 ms pass at the load gateways
    Then the load gateway "b" knows nothing of the others

  # Guards against requests of a dead gateway that keep a worker from being chosen, and against those of its earlier life.
  Scenario: What a gateway had counts until it is silent for 1.5 s, or starts again
    When the load gateway "a" sends 5 requests to "w", and "b" sends 1 to "v"
    And 250 ms pass at the load gateways
    And the load gateway "a" is replaced by one that starts 20 ms later and sends 2 requests to "w"
    And 250 ms pass at the load gateways
    Then the load gateway "b" sees 2 requests at "w" and 1 at "v"
    When the load gateway "a" ends without a word
    And 1800 ms pass at the load gateways
    Then the load gateway "b" sees 0 requests at "w" and 1 at "v"

  Scenario: A gateway without requests reports nothing
    When 3000 ms pass at the load gateways
    Then the load gateways have sent 0 reports
