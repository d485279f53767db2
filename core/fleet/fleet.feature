Feature: One decision says whether a request may be sent to a worker now

  # Guards against a prompt that is read for longer than the drain time, and then sent to the engine that has left meanwhile.
  Scenario: A request that has its place at a draining worker is sent within the drain time only
    Then the fleet lets a request with its place reach a worker 2499 ms after it began to drain, and not 2500 ms after

  # Guards against requests that reach a worker while it wants none, or long after it has said that it leaves.
  Scenario: Whatever workers answer, whoever starts again and whatever copy of the store comes back, workers get what they take
    Then in 150 random schedules no worker gets more than 2 requests from 500 ms on in a time in which it wants none, nor any later than the drain time

  Scenario: The strictest reason decides
    Given a fleet with the worker "a" born at 5
    Then the fleet sends to "a" at 0 ms with the rank 0 and no reason
    When the fleet learns at 100 ms that "a" born at 5 leaves
    Then the fleet sends to "a" at 200 ms with the rank 1 and the reason "leaving"
    When the fleet suspects "a" at 200 ms
    Then the fleet sends to "a" at 300 ms with the rank 3 and the reason "suspect"
    When the fleet holds "a" at 300 ms for 1500 ms
    Then the fleet sends to "a" at 1000 ms with the rank 4 and the reason "retry_after"
    And the fleet sends to "a" at 2600 ms with the rank 5 and the reason "leaving"

  Scenario: A word belongs to an incarnation and outlives its entry
    Given a fleet with the worker "a" born at 5
    When the fleet learns at 0 ms that "a" born at 5 leaves
    And the fleet holds "a" at 0 ms for 9000 ms
    And the fleet loses "a", which comes back born at 3
    Then the fleet sends to "a" at 100 ms with the rank 4 and the reason "retry_after"
    When the fleet loses "a", which comes back born at 5
    Then the fleet sends to "a" at 2600 ms with the rank 5 and the reason "leaving"
    When the fleet loses "a", which comes back born at 6
    Then the fleet sends to "a" at 2600 ms with the rank 4 and the reason "retry_after"
    And the fleet sends to "a" at 9100 ms with the rank 0 and no reason
    When the fleet learns at 9200 ms that "a" born at 5 leaves
    Then the fleet sends to "a" at 9300 ms with the rank 0 and no reason

  Scenario: A word about a worker that is not known yet holds once it is
    Given a fleet with the worker "a" born at 5
    When the fleet learns at 0 ms that "b" born at 7 leaves
    And the fleet gets to know the worker "b" born at 7
    Then the fleet sends to "b" at 100 ms with the rank 1 and the reason "leaving"

  Scenario: A time that is absurdly long is shortened
    Given a fleet with the worker "a" born at 5
    Then the fleet holds "a" for 300000 ms when it names 86400000 ms

  Scenario: A shorter time does not end a longer one
    Given a fleet with the worker "a" born at 5
    When the fleet holds "a" at 0 ms for 5000 ms
    And the fleet holds "a" at 100 ms for 200 ms
    Then the fleet sends to "a" at 4900 ms with the rank 4 and the reason "retry_after"

  Scenario: Requests return gradually after a time without any
    Given a fleet with the worker "a" born at 5
    When the fleet holds "a" at 0 ms for 1000 ms
    Then the fleet gives 40 requests that wait for "a" at 1000 ms at most 3 places in the first 200 ms, and all within 700 ms

  Scenario: An engine that fails its streams is asked last, longer each time, until one succeeds
    Given a fleet with the worker "a" born at 5
    When the fleet sees streams of "a" fail at 0, 100, 600 and 1700 ms
    Then "a" is asked last until 3700 ms
    When the fleet sees a stream of "a" succeed at 1800 ms
    Then "a" is asked last until 1800 ms
    When the fleet sees a stream of "a" fail each 100 ms from 2000 to 60000 ms
    Then "a" is asked last for at most 16000 ms at a time
