Feature: The timers
  Scenario: A manual timer runs what falls due, in order
    Given a manual timer
    When callbacks are scheduled after 20, 10 and 10 ms and the timer advances by 20 ms
    Then the timer called them in the order "b c a"

  Scenario: A manual timer reports a pause before late work runs
    Given a manual timer
    When callbacks are scheduled after 20, 10 and 10 ms and the timer simulates a pause of 500 ms
    Then the timer called them in the order "pause b c a"

  # Guards against a time in the configuration that is too large, and after which each request has timed out at once.
  Scenario: A system timer does not fire at once for a delay longer than Node takes
    Then a system timer with the delays 2147483648, 1e300 and Infinity does not fire within 50 ms

  # Guards against work that counts as lost because the process itself was held up, with the response already there.
  Scenario: A system timer that is late fires after the input that has arrived is read
    Then a system timer of 100 ms fires after input that arrived while the process was held up for 400 ms

  # Guards against a check that decides before the event that it waits for, which came due earlier and waits for the input.
  Scenario: A system timer keeps the order of what came due while the process was held up
    Then system timers of 100 and 380 ms fire in this order after the process was held up for 400 ms
