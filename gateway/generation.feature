Feature: The gateway serves generations from prefill and decode engines

  Background:
    Given a gateway site with engines
      | id | stage   | events | every |
      | p1 | prefill | 0      | 0     |
      | d1 | decode  | 4      | 10    |
      | d2 | decode  | 4      | 10    |

  Scenario: A generation reserves memory, has its prompt read apart, and streams every event once
    When a gateway client requests a generation on "/stream/x"
    Then the gateway client gets the events 1 to 4, each once
    And the gateway engines saw a reservation, then a prefill at "p1", then a decode with its KV cache and the reservation

  Scenario: A generation is refused at once when no engine has memory, and nothing is read in vain
    Given gateway engines without memory
    When a gateway client requests a generation on "/stream/x"
    Then the gateway client gets 503
    And the gateway response has a Retry-After header: yes
    And the gateway response arrived within 600 ms
    And the gateway workers saw 0 requests

  Scenario: The engine that generates reads the prompt when no other can
    Given a gateway worker "p1" that has closed but keeps its entry
    When a gateway client requests a generation on "/stream/x"
    Then the gateway client gets the events 1 to 4, each once

  Scenario: A stream that may not go on elsewhere is cut when its engine is lost
    Given gateway engines that lose their connection after event 2
    When a gateway client requests a generation on "/stream/x"
    Then the gateway client gets an incomplete response

  Scenario: A stream that may go on elsewhere does so in one answer
    Given gateway engines that lose their first connection after event 2
    When a gateway client requests a generation on "/resume/x"
    Then the gateway client gets the events 1 to 4, each once
    And a gateway engine was asked to resume after event 2

  Scenario: A client that leaves before its stream begins costs no memory
    Given gateway engines with a slow prefill
    When a gateway client requests a generation on "/stream/x" and disconnects after 60 ms
    Then the reservation at the gateway engines is released within 500 ms

  Scenario: A client that reads slowly is no sign that its engine is lost
    Given a gateway engine "d3" with 8 events of 2000000 bytes
    When a gateway client requests a generation on "/resume/x" and reads nothing for 1800 ms
    Then the gateway client gets a complete response with 8 events
    And the gateway engines saw 1 decode

  Scenario: An engine that refuses to read a prompt is not asked for the next ones
    Given a gateway worker "p1" that is "full"
    When a gateway client requests a generation on "/stream/x" 4 times
    Then the gateway client gets 200 each time
    And the gateway worker "p1" saw 1 requests

  Scenario: A prompt whose answer is lost is read by the engine that generates
    Given a gateway worker "p1" that is "hang"
    When a gateway client requests a generation on "/stream/x"
    Then the gateway client gets the events 1 to 4, each once
    And the gateway response arrived within 600 ms
    And the gateway logged "prompt lost"

  Scenario: A long prompt whose answer is lost is read once more by an engine that only reads
    Given a gateway worker "p1" that is "hang" to its first request
    When a gateway client requests a generation on "/stream/x" with a prompt of 9000 tokens
    Then the gateway client gets the events 1 to 4, each once
    And the gateway worker "p1" saw 2 requests

  Scenario: A stream that may go on elsewhere does so when its first event does not come
    Given the gateway decode engines are "hang" to the first request
    When a gateway client requests a generation on "/resume/x"
    Then the gateway client gets the events 1 to 4, each once

  Scenario: A prompt that its engine cannot read now is read by another one that generates, before it queues where prompts are read
    Given the sidecars of the gateway engines report 200 waiting prompts at "p1", refuse a prefill at "d1", and accept one at "d2"
    When a gateway client requests a generation on "/stream/x"
    Then the gateway client gets the events 1 to 4, each once
    And the gateway worker "p1" saw 0 requests
    And the gateway worker "d2" saw 1 requests

  # Without a length, only an end inside an event tells a broken stream from a complete one.
  Scenario: A stream without a length that ends inside an event goes on elsewhere in one answer
    Given the gateway decode engines are "unframed_partial_event" to the first request
    When a gateway client requests a generation on "/resume/x"
    Then the gateway client gets the events 1 to 4, each once
    And a gateway engine was asked to resume after event 1

  Scenario: A stream without a length that ends inside an event and may not go on elsewhere is cut
    Given the gateway decode engines are "unframed_partial_event" to the first request
    Then a generation on "/stream/x" is reset at the gateway client

  Scenario: An engine that reads prompts and sends bytes without end is left at once, and the prompt is read elsewhere
    Given a gateway worker "p1" that is "endless_body"
    When a gateway client requests a generation on "/stream/x" with a prompt of 4000 tokens
    Then the gateway client gets the events 1 to 4, each once
    And the gateway worker "p1" has sent less than 2000000 bytes

  Scenario: An engine that sends a head without end is left, and the stream goes on elsewhere
    Given the gateway decode engines are "endless_head" to the first request
    When a gateway client requests a generation on "/resume/x"
    Then the gateway client gets the events 1 to 4, each once

  # Guards against a late copy of an engine's refusal that passes for its response to the second send: 503 for a request that has run.
  Scenario: A refusal that an engine sends once more is not taken for its response to the same request
    Given a gateway worker "d1" that is "lapsed_repeated"
    And a gateway worker "d2" that is "lapsed_repeated"
    When a gateway client requests a generation on "/stream/x" 8 times
    Then no gateway client gets 503 for one of the requests that the engines ran without a KV cache to fetch, at least 2

  # Guards against the text of an error in the middle of a client's stream, or at its end as if it were complete.
  Scenario Outline: A stream that has begun is cut after its last event when the engine that continues it is <mode>
    Given gateway engines that lose their first connection after event 2
    And gateway engines that continue a stream as "<mode>"
    When a gateway client requests a generation on "/resume/x"
    Then the gateway client gets the events 1 to 2 and an incomplete response

    Examples:
      | mode       |
      | not_found  |
      | error      |
      | from_start |
      | good       |
      | cut_head   |
      | cut_head_reset |
      | cut_status |
      | cut_head_after_hint |
      | unframed_partial_event |

  Scenario: An error before the first event of a stream that may go on elsewhere reaches the client whole
    Given a gateway worker "d1" that is "not_found"
    And a gateway worker "d2" that is "not_found"
    When a gateway client requests a generation on "/resume/x"
    Then the gateway client gets 404

  # Guards against a stalled stream that is kept up by a byte now and then.
  Scenario: A stream that sends bytes but completes no event goes on elsewhere
    Given the gateway decode engines are "dribble" to the first request
    When a gateway client requests a generation on "/resume/x"
    Then the gateway client gets the events 1 to 4, each once

  # Guards against a head that stops in the middle and reaches the client as an empty or short stream.
  Scenario Outline: A stream that may not go on elsewhere fails when the response of its engine is <mode>
    Given the gateway decode engines are "<mode>" to the first request
    When a gateway client requests a generation on "/stream/x"
    Then the gateway client gets 502

    Examples:
      | mode           |
      | cut_head       |
      | cut_head_reset |
      | cut_status     |
      | no_status      |
      | cut_head_after_hint |

  Scenario Outline: A stream that may go on elsewhere does so when the response of its engine is <mode>
    Given the gateway decode engines are "<mode>" to the first request
    When a gateway client requests a generation on "/resume/x"
    Then the gateway client gets the events 1 to 4, each once

    Examples:
      | mode           |
      | cut_head       |
      | cut_head_reset |
      | cut_status     |
      | no_status      |
      | cut_head_after_hint |

  Scenario: A prompt whose response stops in its head is read by the engine that generates
    Given a gateway worker "p1" that is "cut_head"
    When a gateway client requests a generation on "/stream/x"
    Then the gateway client gets the events 1 to 4, each once
    And the gateway logged "prompt lost"

  # Guards against a copy of a reservation's response that another call on the connection gets for its own.
  Scenario Outline: Engines that send each response to a control call again after <ms> ms cost no client a wrong stream
    Given the gateway engines send each response to a control call once more after <ms> ms
    When a gateway client requests a generation on "/stream/x" 6 times
    Then the gateway client gets each time the events 1 to 4, each once, or 503
    And the gateway client has got the events at least 3 times

    Examples:
      | ms |
      | 0  |
      | 2  |
      | 15 |
      | 60 |
