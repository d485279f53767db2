Feature: Configuration relays over sockets
  Scenario: A change reaches 50 relays within 6 s while the configuration service is stale and then down
    Given 50 relays over sockets in 3 availability zones, with one reader at a fresh service and the rest at a stale one
    When the socket relays get a change and the fresh service is down 500 ms later
    Then within 6 s the change is in force at every socket relay
    And the socket relays read the services less than 100 times a second at the most
    When a socket relay restarts while one service is stale and the other one down
    Then the restarted socket relay is ready within 6 s, never has the old configuration ready, and keeps the change for 2 s
