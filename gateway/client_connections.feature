Feature: How the gateway closes the connections of its clients

  Background:
    Given a gateway site with the plain workers "w1"

  Scenario Outline: A refusal reaches a client that still sends <what>
    When a raw gateway client writes <what> and 100 ms later the rest, before it reads
    Then the raw gateway client gets 1 response with <status> within 1500 ms
    And the connection of the raw gateway client ends without a reset

    Examples:
      | what                                 | status |
      | the head of a request without a route | 404    |
      | a body that is too large             | 413    |
      | bytes that are no protocol           | 400    |

  Scenario: An idle connection is closed
    Given a gateway idle limit of 300 ms
    When a raw gateway client sends a request
    Then the connection of the raw gateway client ends without a reset
