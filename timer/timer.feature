Feature: The manual timer
  Scenario: A manual timer runs what falls due, in order
    Given a manual timer
    When the timer holds work at 20, 10 and 10 ms and advances by 20 ms
    Then the timer ran the work in the order "b c a"

  Scenario: A manual timer reports a pause before late work runs
    Given a manual timer
    When the timer holds work at 20, 10 and 10 ms and pauses for 500 ms
    Then the timer ran the work in the order "pause b c a"
