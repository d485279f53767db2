Feature: Configuration relays over sockets
  Scenario: A change reaches 50 relays within 6 s while the configuration service is stale and then down
    Given 50 relays over sockets in 3 availability zones, one reader using a fresh service and the others a stale one
    When both services get a change for the socket relays and the fresh service goes down 500 ms later
    Then within 6 s the change is in force at every socket relay
    And the socket relays read the services fewer than 100 times per second
    When a socket relay restarts while one service is stale and the other is down
    Then the restarted socket relay is ready within 6 s, is never ready with the old configuration, and keeps the change for 2 s
