Feature: Configuration relays
  Background:
    Given 60 relays in 3 availability zones with a configuration at revision 1

  Scenario: Relays that all start at once are ready soon after the readers have waited for peers
    Then every relay was ready within 3200 ms of the start of the fleet

  Scenario: A relayed change is pushed down the trees within 1 s and only readers read
    When the configuration service gets a change for the relays
    Then within 1 s the change is in force at every relay
    And the relays read the service at most 2 times for each reader

  Scenario: A relayed change spreads although messages get lost
    When 30% of the messages between relays are lost
    And the configuration service gets a change for the relays
    Then within 6 s the change is in force at every relay

  Scenario: A relayed change that one reader saw spreads although the service is down and stale afterwards
    When the service is stale for every relay but one reader
    And the configuration service gets a change for the relays
    And the service is down for every relay after 200 ms
    Then within 6 s the change is in force at every relay

  Scenario: A relayed change spreads without the service after the readers of a zone died
    When the readers of one zone stop
    And the configuration service gets a change for the relays
    Then within 6 s the change is in force at every relay

  Scenario: A restarted relay never goes back although the service is stale
    When the service is stale for every relay but one reader
    And the configuration service gets a change for the relays
    Then within 6 s the change is in force at every relay
    When every relay but one restarts, one after the other
    Then no restarted relay served an older configuration than the change

  Scenario: Relays read for themselves within the budget when no reader gets through
    When the service is down for the readers only
    And 25 s pass for the relays
    And the configuration service gets a change for the relays
    Then within 25 s the change is in force at every relay
    And the relays read the service at most 15 times per second

  Scenario: Relays whose peers are all silent read for themselves
    When 100% of the messages between relays are lost
    And the configuration service gets a change for the relays
    Then within 25 s the change is in force at every relay
