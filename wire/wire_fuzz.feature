@wire
Feature: Wire input from hostile peers
  Scenario: A sample of every kind of wire message is valid and survives a round trip
    Then the wire samples of every kind are valid and decode to equal values in pieces of 1 to 50 bytes

  Scenario: A wire message that lacks any of its required fields is refused
    Then the wire validator refuses every sample that lacks a required field

  Scenario: Random bytes never make a wire decoder throw or hold more than its bound
    Then wire decoders with a limit of 512 bytes survive 3000 random streams with seed 11

  Scenario: Wire frames with a few bytes changed never make the decoder or the validator throw
    Then wire decoders and validators survive 5000 changed frames with seed 12

  Scenario: Wire messages with a field replaced are refused or still of the right form
    Then the wire validator survives 5000 messages with a replaced field with seed 13

  Scenario: A wire listener outlives random connections
    Given a wire listener with the key "none"
    When 200 wire peers send random bytes with seed 14
    Then a wire connection with the key "none" carries 10 messages
