Feature: Retries
  Scenario Outline: A retry is allowed only when it is safe
    Given a retry budget with 5 saved retries
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
    Given a retry budget with 5 saved retries
    Then a retry after "d1" excludes "d1"
