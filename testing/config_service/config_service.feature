Feature: The stand-in for the configuration service

  Scenario: A config stand-in watch returns with a change as soon as it comes
    Given a config stand-in with a record at revision 1
    When a config stand-in watch waits 5000 ms and the record changes after 50 ms
    Then the config stand-in watch returns revision 2 within 1000 ms

  Scenario: A config stand-in takes one of two racing conditional writes
    Given a config stand-in with a record at revision 1
    When 2 operators write the config stand-in record on the condition of revision 1
    Then the config stand-in responds with 200 once and with 409 once

  Scenario: A stale config stand-in hides what is written later
    Given a config stand-in with a record at revision 1
    When the config stand-in is stale and the record changes
    Then a config stand-in read returns revision 1, and revision 2 once the fault is cleared

  Scenario: A config stand-in refuses reads over its rate
    Given a config stand-in that allows 5 reads per second
    When 8 config stand-in reads arrive at once
    Then the config stand-in refused 3 of them
