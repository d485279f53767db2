Feature: A bounded log never blocks and keeps what matters

  Scenario: A bounded log whose reader reads nothing holds back no more than its bound and slows nobody
    Given a bounded log that writes to a pipe without a reader
    When 20000 lines are written to the bounded log
    Then the writes took under 1000 ms and at most 262144 bytes are buffered
    And the bounded log counts more than 10000 dropped lines

  Scenario: A bounded log drops lines about success before lines about failures
    Given a bounded log of 1000 bytes per second
    When 50 lines about success and then 5 lines about failures are written to the bounded log
    Then the bounded log wrote all 5 lines about failures and fewer than 50 about success
    And the first line about a failure has the number of dropped lines

  Scenario: No request header breaks a line of the bounded log
    Then the bounded log writes 500 records with random text from requests as one line each
