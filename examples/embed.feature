Feature: The library without the daemons
  Scenario: A program of twenty lines embeds a lease, a reservation and a ticket
    When the program that embeds the library runs
    Then the embedding program printed "true false 10 run wait"
