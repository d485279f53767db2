Feature: What began a stream outlives gateways and sidecars

  # Each stream is taken up after the losses; a version that did not begin it is never named.
  Scenario Outline: Streams are taken up after <what>
    Given 8 simulated gateways and 24 simulated sidecars
    When 400 simulated streams of two versions begin
    And in the simulation <what>
    Then at least <share> in 100 simulated streams are taken up, and none at another version

    Examples:
      | what                                                                    | share |
      | all gateways start anew                                                 | 100   |
      | all gateways start anew while a third of the sidecars does              | 90    |
      | a third of the sidecars starts anew, and all gateways a second later    | 100   |
      | all sidecars are replaced one after the other, and all gateways start anew | 95 |
      | all sidecars are replaced at once, and all gateways start anew a second later | 95 |

  Scenario: Nothing is known, and nothing guessed, when all gateways and sidecars start anew together
    Given 8 simulated gateways and 24 simulated sidecars
    When 100 simulated streams of two versions begin
    And in the simulation all gateways and sidecars start anew
    Then no simulated stream is taken up, and each is refused for good

  # Messages must not grow with gateways times sidecars.
  Scenario: A stream costs as many messages with four times the gateways and the sidecars
    Given 8 simulated gateways and 24 simulated sidecars
    When 400 simulated streams of two versions begin
    Then the simulated gateways have sent 3 messages for each stream
    Given 32 simulated gateways and 96 simulated sidecars
    When 400 simulated streams of two versions begin
    Then the simulated gateways have sent 3 messages for each stream
