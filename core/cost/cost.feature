Feature: Cost decides where a request of a plain service goes

  # Guards against gateways that each see a few requests a second and send all of them: queues fill until every answer is late, and full workers refuse.
  Scenario: In bursts beyond what workers answer, most callers are still served in time
    Then in the cost simulation "bursts", 30 gateways that place by completion lose at most a third of the callers that are lost by latency
    And workers of the cost simulation refuse at most a third of the arrivals, and more callers are served in time

  Scenario: Without bursts nobody loses
    Then in the cost simulation "steady", 30 gateways that place by completion serve at least as many in time as by latency, and refuse none

  # Guards against many choosers that follow the same old report.
  Scenario: Gateways with the same old report don't all run to the worker that was the freest
    Then of 30 cost choices from one report behind which 30 requests have been sent, no worker of 6 gets more than 12
    And with a fresh report the cost choice is the worker that answers first, however far it is

  Scenario: The work of requests and the speed of workers are learned beside each other
    Given cost estimates of two kinds of requests of 20 and 200 ms at workers that take 0.7 and 1.7 times as long
    Then the cost estimates tell the kinds apart by 9 to 11 times, and the workers by 2.1 to 2.7 times
    When one cost sample is 1000 times as long
    Then the cost estimates tell the kinds apart by 8 to 12 times, and the workers by 1.9 to 3.2 times
    When the slow worker answers nothing for 12 s
    Then the cost estimate of its speed is within 10 percent of the mean

  # Guards against engines that are measured behind other prompts, and against a speed that is kept for ever.
  Scenario: The speed of an engine follows its shorter samples and is forgotten
    Then speed samples of 30, 90, 31, 200, 32 and 30 ms for a unit tell a speed of 25 to 45 ms, of which nothing is known 200 s later

  Scenario: Cost estimates are bounded whatever clients ask
    Then after 5000 kinds of requests at 5000 workers the cost estimates keep at most 1024 values

  # Guards against loads that come late, twice, from an earlier life, or from a gateway that has ended.
  Scenario: The sum of loads counts the newest report of each gateway that is alive
    Given a load sum with the report 2 of the life 7 of "a" with 5 requests
    Then the load sum for "b" is 5 requests, and for "a" 0
    And the load sum takes no report 2 of the life 7, 1 of the life 7 or 9 of the life 6 of "a" with 50 requests
    When the load sum gets the report 1 of the life 8 of "a" with 3 requests
    Then the load sum for "b" is 3 requests, and for "a" 0
    And 1600 ms later the load sum for "b" is 0 requests

  Scenario: A load view without news from others is not used
    Then a load view is known for 1000 ms after it was told, and an older word does not replace it

  Scenario Outline: Requests that can't be served in time make way for those that can
    Then a request with <level> ms to the answer, <waited> ms waited, <used> ms used before and rank <rank> leads to <decision>

    Examples:
      | level | waited | used | rank | decision |
      | 270   | 0      | 0    | 0    | send     |
      | 290   | 0      | 0    | 0    | wait     |
      | 290   | 50     | 0    | 0    | refuse   |
      | 270   | 0      | 0    | 1    | wait     |
      | 300   | 0      | 1300 | 0    | wait     |
      | 110   | 0      | 1300 | 0    | send     |
      | 300   | 3100   | 1300 | 0    | send     |
      | 100   | 0      | 170  | 0    | send     |
      | 220   | 0      | 170  | 0    | send     |
      | 290   | 50     | 170  | 0    | wait     |

  # Guards against gateways that all stop and all start by the same old report.
  Scenario: With reports that are half a second late, gateways still serve as many in time as by latency
    Then in the cost simulation "bursts" with reports delayed by 250 ms each way, at least 97 of 100 callers served in time by latency are still served in time

  Scenario: Those who are refused return over the time in which they wait at all
    Then 200 cost return delays with 500 ms to the answer and 3900 ms left lie between 702 and 1300 ms, and spread over all tenths of that

  # Guards against a client that states a long time and so makes all others look like ones that come back.
  Scenario: A client is taken to have come back by the deadlines that are usual
    Then with usual deadlines of 4000 ms, one of 2700 ms is that of a client that has used up the rest, though one in five states 900000 ms
    And with usual deadlines between 3760 and 4240 ms, none of them is that of a client that has used up time
