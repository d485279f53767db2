Feature: How the gateway closes the connections of its clients

  Background:
    Given a gateway site with the plain workers "w1"

  Scenario Outline: The response to a request in flight is not replaced by an answer to <what> behind it
    Given gateway workers that are "slow"
    When a raw gateway client writes a request and 50 ms later <what>
    Then the raw gateway client gets 1 response with 200 and the body "signed" within 2000 ms
    And the connection of the raw gateway client ends without a reset
    And the gateway workers saw 1 requests

    Examples:
      | what                     |
      | no protocol              |
      | a large header           |
      | the method CONNECT       |

  Scenario: A request that is completed behind the refusal of its head does not run
    When a raw gateway client writes half a head
    Then the raw gateway client gets 1 response with 408 within 2500 ms
    When the raw gateway client writes the other half
    And 300 ms pass at the gateway
    Then the gateway workers saw 0 requests

  Scenario: Requests that arrive together are answered in their order, each once
    When a raw gateway client writes 3 requests at once
    Then the raw gateway client gets 3 responses with 200 within 2000 ms
    And the gateway workers saw 3 requests

  Scenario: A request behind the last response of its connection does not run
    Given gateway workers that are "slow"
    When the gateway is stopped
    And a raw gateway client writes 2 requests at once
    Then the raw gateway client gets 1 response with 200 within 2000 ms
    And the connection of the raw gateway client ends without a reset
    And the gateway workers saw 1 requests

  Scenario: A client that leaves inside its next request is noticed
    Given gateway workers that are "hang"
    When a raw gateway client writes a request and 50 ms later half a head, and ends its side
    Then the request at the gateway worker is aborted within 400 ms

  Scenario Outline: A body that cannot be completed is refused at once when <what>
    When a raw gateway client writes a head whose body <what>
    Then the connection of the raw gateway client ends within 400 ms, with the statuses "<statuses>"
    And the gateway workers saw 0 requests

    Examples:
      | what             | statuses |
      | has a bad chunk  | 400      |
      | ends in its midst |          |

  Scenario Outline: A refusal reaches a client that still sends <what>
    When a raw gateway client writes <what> and 100 ms later the rest, before it reads
    Then the raw gateway client gets 1 response with <status> within 1500 ms
    And the connection of the raw gateway client ends without a reset

    Examples:
      | what                                 | status |
      | the head of a request without a route | 404    |
      | a body that is too large             | 413    |
      | bytes that are no protocol           | 400    |

  Scenario: A request that has arrived before its idle connection is closed is answered
    Given a gateway idle limit of 300 ms
    When a raw gateway client sends a request, and the next one while the process is stopped across the idle limit
    Then the raw gateway client gets 2 responses with 200 within 1500 ms

  Scenario: A connection stays open for the idle limit in force when that was raised
    Given a gateway idle limit of 300 ms
    When a raw gateway client sends a request
    And the gateway idle limit is raised to 3000 ms
    And 2200 ms pass at the gateway
    And the raw gateway client sends the next request
    Then the raw gateway client gets 2 responses with 200 within 1500 ms

  Scenario: A head that is complete before its limit is checked is served
    When a raw gateway client writes half a head, and the rest while the process is stopped across the limit for heads
    Then the raw gateway client gets 1 response with 200 within 1500 ms

  Scenario: An idle connection is closed
    Given a gateway idle limit of 300 ms
    When a raw gateway client sends a request
    Then the connection of the raw gateway client ends without a reset

  Scenario: Raised and lowered limits on heads hold for connections that are open
    When a raw gateway client sends a request
    And the gateway limit on heads is raised to 16384 bytes
    And the raw gateway client sends the next request with a head of 9000 bytes
    Then the raw gateway client gets 2 responses with 200 within 2000 ms
    When the gateway limit on heads is lowered to 4096 bytes
    And the raw gateway client sends the next request with a head of 5000 bytes
    Then the connection of the raw gateway client ends within 1500 ms, with the statuses "200 200 431"

  Scenario: A lowered idle limit holds for connections that are idle
    Given a gateway idle limit of 20000 ms
    When a raw gateway client sends a request
    And the gateway idle limit is lowered to 200 ms
    Then the connection of the raw gateway client ends within 3000 ms, with the statuses "200"
