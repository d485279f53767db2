Feature: Figures of the detection bench
  Scenario Outline: A detection run recovers after the last window with too few good answers
    Given 20 detection answers in each window of 500 ms up to 2000 ms, not good <bad>
    Then the detection run recovers after <recovery> ms

    Examples:
      | bad                       | recovery |
      | none                      | 0        |
      | 0, 25                     | 500      |
      | 500                       | 0        |
      | 0, 25, 1500, 1525         | 2000     |

  Scenario: Detection decisions count by entry, and a request is rerouted by its next decision elsewhere
    Given the detection decisions "e1 r1 -50 v; e1 r2 300 v; e2 r3 900 v; e2 r4 1000 w; e1 r1 1600 w; e2 r3 1700 v; e2 r3 1800 w"
    Then the last detection decisions for "v" of "e1, e2, e3" are at "300, 1700, 0"
    And the last detection request that "v" had is rerouted at 1800 ms
