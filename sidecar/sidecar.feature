Feature: The sidecar watches the engine on its machine, admits streams and gives orders

  Scenario: A sidecar admits streams while the predicted peak fits
    Given a sidecar beside an engine of 1000 tokens with the stage "decode"
    Then the sidecar admits a stream with 300 prompt tokens, at most 200 output tokens and an estimate of 100
    And the sidecar admits a stream with 300 prompt tokens, at most 200 output tokens and an estimate of 100
    And the sidecar refuses a stream with 300 prompt tokens, at most 200 output tokens and an estimate of 100
    And the sidecar has made 2 reservations at its engine

  Scenario: A sidecar lets its engine read one prompt at a time
    Given a sidecar beside an engine of 100000 tokens with the stage "decode"
    Then the sidecar admits a stream with 5000 prompt tokens and the prefill at its engine
    And the sidecar refuses a stream with 5000 prompt tokens and the prefill at its engine
    And the sidecar admits a stream with 300 prompt tokens, at most 200 output tokens and an estimate of 100

  Scenario: A sidecar orders the stage that the balance asks for, once
    Given a sidecar beside an engine of 1000 tokens with the stage "prefill" among 5 engines of which 2 prefill
    Then the sidecar orders "decode" within 4000 ms with the expected number of orders
    And the sidecar sends 1 orders within 1000 ms

  Scenario: A sidecar admits nothing while another stage is due
    Given a sidecar beside an engine of 1000 tokens with the stage "decode" among 3 engines of which 0 prefill
    Then the sidecar refuses streams within 1500 ms

  Scenario: A sidecar that starts again gives no order that is carried out already
    Given a sidecar beside an engine of 1000 tokens with the stage "prefill" among 5 engines of which 2 prefill
    Then the sidecar orders "decode" within 4000 ms with the expected number of orders
    When the sidecar restarts
    Then the sidecar sends 0 orders within 2500 ms

  # Guards against orders that an engine refuses, or that count as those of an older holder.
  Scenario: The fencing token of a sidecar does not go down when the store comes back from an older copy
    Given a sidecar beside an engine of 1000 tokens with the stage "prefill" among 5 engines of which 2 prefill
    When the sidecar store is copied and then takes 500 writes
    Then the sidecar orders "decode" within 4000 ms with the expected number of orders
    When the sidecar store comes back from the copy
    And the sidecar engine is the first of 5 that decode
    Then the sidecar orders "prefill" within 8000 ms, with a higher fencing token than before
    When the sidecar restarts
    And the sidecar engine is the last of 5 that prefill
    Then the sidecar orders "decode" within 8000 ms, with a higher fencing token than before

  Scenario: A sidecar rarely calls the store while nothing changes, and still hears of a change at once
    Given a sidecar beside an engine of 1000 tokens with the stage "decode"
    When 4000 ms pass at the sidecar
    Then the sidecar has called the store at most 6 times
    When the sidecar engine is replaced by another one in the store
    Then the sidecar admits streams to the new engine within 500 ms

  # Guards against streams that are sent to an engine which is gone, because the room of the one that has started in its place is told as its own.
  Scenario: A sidecar knows an engine that has started in the place of another whose entry is still there
    Given a sidecar beside an engine of 1000 tokens with the stage "decode"
    Then the sidecar admits a stream with 600 prompt tokens, at most 200 output tokens and an estimate of 100
    When the sidecar engine starts again, with an entry beside that of its predecessor after 300 ms
    Then the sidecar has told no room of the engine "i-5" since then
    And the sidecar admits streams to the new engine within 500 ms
    And the sidecar tells 800 tokens of room or more at the engine "i-6" within 300 ms

  # Guards against a worker that gets far more requests than the limit that it named (docs/incidents/worker-limit-ignored.md).
  Scenario: A sidecar keeps the limit of its engine's request rate for all gateways, and lets it go when it ends
    Given a sidecar beside an engine of 100000 tokens with the stage "decode"
    When the engine of the sidecar limits its rate to 1 a second
    Then the sidecar admits 1 of 8 streams that come at once, and refuses the others for "limit_exceeded"
    When the engine of the sidecar no longer limits its rate
    Then the sidecar admits 8 of 8 streams that come at once, and refuses the others for "limit_exceeded"

  # Guards against one odd report or entry after which a sidecar knows its engine no longer.
  Scenario Outline: A sidecar goes on after a report of its engine <what>
    Given a sidecar beside an engine of 1000 tokens with the stage "decode"
    When the engine of the sidecar reports <what> for 200 ms, and has 100000 tokens afterwards
    Then the sidecar admits a stream with 5000 prompt tokens, at most 200 output tokens and an estimate of 100

    Examples:
      | what                       |
      | deeply nested in its stage |
      | deeply nested              |
      | no JSON                    |
      | numbers out of range       |

  Scenario: A sidecar follows the store beside an entry that is deeply nested in its state
    Given a sidecar beside an engine of 1000 tokens with the stage "decode"
    When an entry that is deeply nested in its state is written beside that of the sidecar engine
    And the sidecar engine is replaced by another one in the store
    Then the sidecar admits streams to the new engine within 500 ms

  # Guards against calls that reach an engine while it wants none from this machine.
  Scenario: A sidecar makes no call to an engine that turns a reservation away, for the time that the engine names
    Given a sidecar beside an engine of 100000 tokens with the stage "decode"
    When the engine of the sidecar turns reservations away with the Retry-After "1.5"
    Then the sidecar admits 0 of 4 streams that come at once, and refuses the others for "no_capacity, limit_exceeded"
    And the sidecar gives its gateways a hold of 1000 to 1500 ms
    When 1400 ms pass at the sidecar
    Then the sidecar engine got at most 2 calls in the time in which it wanted none
    When the engine of the sidecar takes reservations again
    Then the sidecar admits streams to the engine within 1000 ms

  # Guards against gateways that go on sending to an engine of whose leaving only its sidecar knows.
  Scenario: A sidecar whose engine says in a report that it leaves tells its gateways, also one that connects later
    Given a sidecar beside an engine of 100000 tokens with the stage "decode"
    And a gateway that is connected to the sidecar
    When the engine of the sidecar says that it leaves
    Then the sidecar tells its gateways within 300 ms that "i-5" leaves
    When another gateway connects to the sidecar
    Then the sidecar tells its gateways within 300 ms that "i-5" leaves

  Scenario: A sidecar passes on what one gateway tells of a worker that leaves, once
    Given a sidecar beside an engine of 100000 tokens with the stage "decode"
    And a gateway that is connected to the sidecar
    When another gateway connects to the sidecar
    And that gateway tells the sidecar 3 times that "i-9" leaves
    Then the sidecar tells its gateways within 300 ms that "i-9" leaves
    And the sidecar has told each gateway 1 times of "i-9"

  Scenario: A sidecar gives no order to an engine that leaves
    Given a sidecar beside an engine of 1000 tokens with the stage "prefill" among 5 engines of which 2 prefill
    When the engine of the sidecar says that it leaves
    Then the sidecar sends 0 orders within 2500 ms
