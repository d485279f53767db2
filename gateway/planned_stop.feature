Feature: A gateway that is stopped leaves no request without its answer

  Background:
    Given a gateway site with the plain workers "w1, w2" and the engine "d1" that stops within 1600 ms

  Scenario Outline: A request that has not run and cannot end before the exit is refused, <what>
    Given version 2 of the gateway rules with a timeout of 20000 ms
    When a gateway client sends the head of "<line>" and the stopping gateway gets its body <after> ms after the stop
    Then the stopping gateway answers 503 with the reason "stopping" and a Retry-After header
    And the gateway workers saw 0 requests

    Examples:
      | what                                           | line           | after |
      | when its body comes after the stop             | POST /unsafe/x | 100   |
      | a stream, when its body comes too late in time | POST /stream/x | 2900  |

  Scenario: A configuration that lengthens the time of requests beside the stop lets none begin that cannot end
    When the gateway is stopped
    And version 2 of the gateway rules has a timeout of 20000 ms
    Then a request to the stopping gateway that waits 20000 ms gets 503, and one that waits 600 ms gets 200

  # Guards against requests that are cut with no answer at the end of the grace period.
  Scenario Outline: A request to <path> whose worker is silent gets its final answer when the process exits
    Given version 2 of the gateway rules with a timeout of 20000 ms
    And gateway workers that are "hang"
    When a gateway client sends "POST <path>" to the gateway that stops then
    Then the gateway client gets 504

    Examples:
      | path      |
      | /unsafe/x |
      | /stream/x |

  # The end of the connection would complete such a response.
  Scenario: A response without a length that the exit breaks off is reset
    Given version 2 of the gateway rules with a timeout of 20000 ms
    And gateway workers that are "unframed_stream"
    When a gateway client sends "POST /stream/x" to the gateway that stops then
    Then the gateway client gets an incomplete response

  Scenario: A response without a length that the client reads slowly is reset at the exit
    Given version 2 of the gateway rules with a timeout of 20000 ms
    And gateway workers that are "unframed_large"
    When a gateway client sends "POST /unsafe/x", reads slowly, and the gateway stops
    Then the gateway client gets an incomplete response
