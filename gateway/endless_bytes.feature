Feature: Bytes without end from one worker cost the gateway neither the memory nor the time of other requests

  Background:
    Given a gateway site with engines
      | id | stage   | events | every |
      | p1 | prefill | 0      | 0     |
      | d1 | decode  | 4      | 10    |
      | d2 | decode  | 4      | 10    |

  # Guards against an event without end that is kept, and copied with each piece, until its engine counts as silent.
  Scenario: A stream whose event has no end is left, and goes on elsewhere
    Given the gateway decode engines are "endless_body" to the first request
    When a gateway client requests a generation on "/resume/x"
    Then the gateway client gets the events 1 to 4, each once
    And the gateway response arrived within 1500 ms
    And the gateway logged "an event is longer than 4194304 bytes"

  Scenario: A stream whose event has no end and that may not go on elsewhere is cut
    Given the gateway decode engines are "endless_body" to the first request
    Then a generation on "/stream/x" is reset at the gateway client
    And the gateway logged "an event is longer than 4194304 bytes"

  # Guards against many incomplete events, each of a permitted length, that together take the memory of the process.
  Scenario: An incomplete event that takes too much of the memory of the gateway is given up before it is too long by itself
    Given a gateway site whose gateway has 8 MiB of memory, with the decode engines "d1, d2"
    And the gateway decode engines are "endless_body" to the first request
    When a gateway client requests a generation on "/resume/x"
    Then the gateway client gets the events 1 to 3, each once
    And the gateway logged "is the longest of too many that are not complete"

  # Guards against a refusal, or an error, that is known from its head and goes unheard until the deadline because its body has no end.
  Scenario Outline: A request goes on elsewhere when the response of its first worker is <mode>
    Given a gateway site with the plain workers "w1, w2"
    And gateway workers that are "<mode>" to their first request
    When a gateway client sends "POST /safe/x"
    Then the gateway client gets 200
    And the gateway response arrived within 400 ms

    Examples:
      | mode             |
      | endless_refusal  |
      | dribbled_refusal |

  Scenario Outline: A stream goes on elsewhere when the response of its first engine is <mode>
    Given the gateway decode engines are "<mode>" to the first request
    When a gateway client requests a generation on "/resume/x"
    Then the gateway client gets the events 1 to 4, each once
    And the gateway response arrived within 900 ms

    Examples:
      | mode             |
      | endless_refusal  |
      | dribbled_refusal |
      | endless_error    |
