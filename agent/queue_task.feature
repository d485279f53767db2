Feature: The queue of an agent
  Scenario: Pauses, resumes and refusals from the queue are logged as admission decisions
    Given a queue of an agent with 2 seats, both taken by free work
    When paid work with a wait limit of 100 ms is queued 3 times and waiting work is admitted after 200 ms
    And the reservation of "p1" ends and waiting work is admitted
    Then the queue logged the admission decisions
      | request | reason                                |
      | f2      | paused for paid work                  |
      | f1      | paused for paid work                  |
      | p3      | refused from the queue: target_missed |
      | f1      | resumed                               |
