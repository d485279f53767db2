Feature: Retries
  Scenario Outline: A retry is allowed only when it is safe
    Given a retry budget with 5 retries left
    Then a retry of a request with the outcome "<outcome>", idempotent "<idempotent>", attempt <attempt> and <leftMs> ms left gives "<verdict>"

    Examples:
      | outcome | idempotent | attempt | leftMs | verdict           |
      | not_run | no         | 1       | 100    | retry             |
      | unknown | yes        | 1       | 100    | retry             |
      | unknown | no         | 1       | 100    | backend_error     |
      | done    | yes        | 1       | 100    | backend_error     |
      | not_run | yes        | 3       | 100    | no_capacity       |
      | not_run | yes        | 1       | 0      | deadline_exceeded |

  Scenario: A retry budget bounds amplification below 1.1 whatever fails
    Then retries with the ratio 0.08 amplify load by less than 1.1 in 300 random outages

  Scenario: A retry never goes to the same backend server twice in a row
    Given a retry budget with 5 retries left
    Then a retry after "d1" excludes "d1"

  Scenario Outline: Processes that share a bound on repeated sends keep it together, though they start, end and restart
    Then <processes> processes that live for at least <life> ms keep a limit with the ratio 0.2 and the slack <slack> in 300 random series of requests

    Examples:
      | processes | slack | life |
      | 4         | 54    | 1000 |
      | 24        | 88    | 0    |
      | 40        | 98    | 0    |

  Scenario: Four processes that share a bound on repeated sends keep it together, though they restart at any moment
    Then 4 processes that live for at least 0 ms keep a limit with the ratio 0.2 and the slack 54 in 300 random series of requests

  Scenario: A process that serves alone may use the requests of a whole window for a series of failures
    Then a process with 100 requests in 10000 ms and the ratio 0.2 may send 16 repeats at once
