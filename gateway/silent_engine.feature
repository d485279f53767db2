Feature: A worker that falls silent for a second or so and goes on loses nothing

  Background:
    Given a gateway site with engines
      | id | stage   | events | every |
      | p1 | prefill | 0      | 0     |
      | d1 | decode  | 8      | 10    |
      | d2 | decode  | 8      | 10    |

  # Guards against silence taken for loss: a stream was given up before another engine was certain, and its client's connection broken.
  Scenario Outline: A stream goes on after a silence <point> when no other engine has memory
    Given the gateway engines fall silent <point> for 1700 ms
    And only the gateway engine "d1" has memory
    When a gateway client requests a generation on "/resume/x"
    Then the gateway client gets the events 1 to 8, each once
    And the gateway engines saw 1 decode
    And the gateway logged "stream silent"
    And the gateway logged "stream goes on"

    Examples:
      | point                  |
      | before the head        |
      | before the first event |
      | between two events     |
      | inside an event        |

  Scenario: A stream goes on after a silence when the budget for repeated sends is used up, and nothing is reserved elsewhere
    Given a gateway site with the same engines and no budget for repeated sends
    And the gateway engines fall silent between two events for 1700 ms
    When a gateway client requests a generation on "/resume/x"
    Then the gateway client gets the events 1 to 8, each once
    And the gateway engines saw 1 decode
    And the gateway engine "d2" saw 0 reservations

  Scenario: A stream goes on after a silence when its attempts are used up
    Given a gateway engine "d1" that loses its first connection after event 2
    And the gateway engine "d2" falls silent before the first event for 1700 ms
    When a gateway client requests a generation on "/resume/x"
    Then the gateway client gets the events 1 to 8, each once
    And a gateway engine was asked to resume after event 2

  Scenario: Several streams that fall silent together all go on
    Given the gateway engines fall silent between two events for 1700 ms
    And only the gateway engine "d1" has memory
    When 5 gateway clients request a generation on "/resume/x" together
    Then each gateway client gets the events 1 to 8, each once
    And the gateway engines saw 5 decodes

  Scenario: A stream that wakes while another engine is sought goes on, and what was reserved and prefilled there is freed
    Given the gateway engines fall silent between two events for 1700 ms
    And the gateway prefills take 400 ms from the second one on
    When a gateway client requests a generation on "/resume/x" with a prompt of 9000 tokens
    Then the gateway client gets the events 1 to 8, each once
    And the gateway engines saw 1 decode
    And the gateway worker "p1" saw 2 requests
    And each reservation for the search at the gateway engine "d2" is released within 500 ms

  Scenario: A stream that stays silent goes on at another engine, and only there
    Given a gateway worker "d1" that is "dribble"
    When a gateway client requests a generation on "/resume/x"
    Then the gateway client gets the events 1 to 8, each once
    And the request at the gateway worker "d1" is aborted within 400 ms of its second send

  Scenario: A stream that stays silent and has no replacement is listened to until the deadline
    Given a gateway worker "d1" that is "hang"
    And only the gateway engine "d1" has memory
    When a gateway client requests a generation on "/resume/x"
    Then the gateway client gets 504
    And the gateway response arrived later than 2900 ms

  Scenario: A silent stream is lost at once when its engine has started again
    Given a gateway worker "d1" that is "hang"
    When a gateway client requests a generation on "/resume/x" and "d1" starts again unheard after 200 ms
    Then the gateway client gets the events 1 to 8, each once
    And the gateway response arrived within 900 ms
    And the gateway logged "started again"

  Scenario: A stream that may not go on elsewhere is listened to through a silence
    Given the gateway engines fall silent between two events for 1700 ms
    When a gateway client requests a generation on "/stream/x"
    Then the gateway client gets the events 1 to 8, each once

  Scenario: A silent prefill costs the request nothing but time
    Given the gateway engine "p1" falls silent before the response to a prefill for 1500 ms
    When a gateway client requests a generation on "/resume/x"
    Then the gateway client gets the events 1 to 8, each once

  Scenario: An engine that is silent to a reservation is passed over
    Given the gateway engine "d1" falls silent before the response to a reservation for 1500 ms
    When a gateway client requests a generation on "/resume/x"
    Then the gateway client gets 503
    And the gateway response has a Retry-After header: yes
    When a gateway client requests a generation on "/resume/x"
    Then the gateway client gets the events 1 to 8, each once

  # Guards against the silence of a process that stood still itself, with data that has arrived and is not read yet.
  Scenario: A stream is not taken for silent when the gateway itself stood still
    Given a gateway engine "d3" with 30 events of 10 bytes
    When a gateway client requests a generation on "/resume/x", and the process stands still for 1600 ms after 120 ms
    Then the gateway client gets a complete response with 30 events
    And the gateway engines saw 1 decode
    And the gateway logged no "stream silent"

  # Guards against the operating system ending the connection of a request whose server is out of reach for a second or two.
  Scenario: Connections to workers are not probed within a silence of some seconds
    When the connections that gateways open are watched
    And a gateway client requests a generation on "/resume/x"
    Then the gateway client gets the events 1 to 8, each once
    And no gateway connection to a worker is probed within 8000 ms without traffic

  Scenario: A sidecar that is silent to a reservation is passed over
    Given the sidecars of the gateway engines are silent to reservations at "d1" and grant them at "d2"
    When a gateway client requests a generation on "/resume/x"
    Then the gateway client gets the events 1 to 8, each once
    And the gateway worker "d1" saw 0 requests

  Scenario: A stream goes on after a silence when the sidecars refuse memory elsewhere
    Given the sidecars of the gateway engines refuse reservations at "d2" and grant them at "d1"
    And the gateway engines fall silent between two events for 1700 ms
    When a gateway client requests a generation on "/resume/x"
    Then the gateway client gets the events 1 to 8, each once
    And the gateway engines saw 1 decode
    And the gateway logged '"hasSidecar":true'
