Feature: A bounded log never blocks and keeps what matters

  Scenario: A bounded log whose reader reads nothing holds back no more than its bound and slows nobody
    Given a bounded log into a pipe that nobody reads
    When 20000 lines are written to the bounded log
    Then the bounded log took under 1000 ms and waits with at most 262144 bytes
    And the bounded log dropped lines and counts them

  Scenario: A bounded log drops lines about success before lines about failures
    Given a bounded log of 1000 bytes a second
    When 50 lines about success and then 5 lines about failures are written to the bounded log
    Then the bounded log holds all 5 lines about failures and fewer than 50 about success
    And the bounded log says with the next line how many were dropped

  Scenario: No request header breaks a line of the bounded log
    Then 500 lines with random texts of requests go through the bounded log as one line each
