Feature: Bounds of an HTTP server, without a network

  Scenario: A further connection closes the least useful one
    Given a server that takes 4 connections, 3 of them from one address
    When the connections "late, idle, sending, kept" come from addresses of their own
    And the connection "new" comes from the address of none of them
    Then the server has closed "late"
    When the connections "n1, n2, n3" come from addresses of their own
    Then the server has closed "late, idle, new, n1"

  Scenario: A further connection is closed when each other one has a whole request
    Given a server that takes 2 connections, 2 of them from one address
    When the connections "kept, kept2" come from addresses of their own
    And the connection "new" comes from the address of none of them
    Then the server has closed "new"

  Scenario: An address over its share has its own connections closed
    Given a server that takes 6 connections, 2 of them from one address
    When the connections "idle, late" come from addresses of their own
    And the connections "a1, a2, a3" come from one address
    Then the server has closed "a1"

  Scenario: Of bodies that are too many, the largest is given up, those without progress first
    Given a reader of bodies with a budget of 400000 bytes
    When bodies bring "slow: 90000, large: 230000"
    And 2000 ms pass at the reader, in which "large" brings 10000 bytes
    And 2000 ms pass at the reader, in which "large" brings 10000 bytes
    And the body "next" brings 140000 bytes
    Then the reader has given up "slow: body_too_slow, large: memory_short"
    And the body "next" is read whole when it ends

  Scenario: A short body is read whatever the others hold
    Given a reader of bodies with a budget of 300000 bytes
    When bodies bring "large: 200000, short: 900"
    And the body "next" brings 150000 bytes
    Then the reader has given up "large: memory_short"
    And the body "short" is read whole when it ends

  Scenario: A body over the limit is given up, whether its length is stated or not
    Given a reader of bodies with a budget of 3000000 bytes
    When bodies bring "sent: 1000001"
    And a body "stated" states 1000001 bytes
    Then the reader has given up "sent: body_too_large, stated: body_too_large"
