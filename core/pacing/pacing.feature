Feature: Pacing keeps a worker's limit over all processes that send to it

  # Guards against a worker that gets far more requests than the limit that it named (docs/incidents/worker-limit-ignored.md).
  Scenario: Processes that learn a limit at different moments keep it together, however unevenly requests arrive
    Then pacers of 1 to 30 processes send at most 1.5 times the limit and 5 requests in any 4 s, in 200 random schedules

  Scenario: Processes with enough requests use most of the limit
    Then pacers of 4 processes with a limit of 8 a second and steady requests send at least 7 a second together

  Scenario: A pacer follows a limit that changes, also the time that it waits already
    Given a pacer with a limit of 1 a second for 4 processes that has just sent
    When the pacer gets a limit of 8 a second
    Then the pacer waits 500 ms

  Scenario: A pacer with a limit of 0 asks once a minute whether it has ended
    Given a pacer with a limit of 0 a second for 4 processes that has just sent
    Then the pacer waits 60000 ms

  Scenario: A pacer with a burst lets requests through together after a time without any, and keeps the limit
    Then a pacer with a limit of 4 a second and a burst of 1000 ms lets 5 requests through at once, and 45 in the next 10 s
