Feature: The callers' interface of an entry
  Scenario Outline: A caller's <case> is answered with status <status>
    Given a deployment for callers
    When a caller sends "<method>" "<path>" with the key "<key>" and the body '<body>'
    Then the caller gets the status <status>, the code "<code>" and the outcome "<outcome>"

    Examples:
      | case                      | method | path                   | key   | body                                  | status | code               | outcome |
      | request without a key     | POST   | /v1/chat/completions   |       | {}                                    | 401    | invalid_api_key    | not_run |
      | request with a wrong key  | POST   | /v1/chat/completions   | wrong | {}                                    | 401    | invalid_api_key    | not_run |
      | body that is not JSON     | POST   | /v1/completions        | paid  | {                                     | 400    | invalid_json       | not_run |
      | body without messages     | POST   | /v1/chat/completions   | paid  | {"model":"sipario-llm"}               | 400    | invalid_request    | not_run |
      | empty prompt              | POST   | /v1/completions        | paid  | {"model":"sipario-llm","prompt":" "}  | 400    | invalid_request    | not_run |
      | unknown model             | POST   | /v1/completions        | paid  | {"model":"x","prompt":"a"}            | 404    | model_not_found    | not_run |
      | unknown path              | GET    | /v2                    | paid  |                                       | 404    | not_found          | not_run |
      | wrong method              | GET    | /v1/completions        | paid  |                                       | 405    | method_not_allowed | not_run |
      | unknown service           | GET    | /services/x/a          | paid  |                                       | 404    | service_not_found  | not_run |
      | booking without a ticket  | POST   | /services/prenota/bookings | paid | {}                                 | 428    | ticket_required    | not_run |
      | ticket for no service     | POST   | /tickets               | paid  | {"service":"x"}                       | 400    | invalid_request    | not_run |
      | text completion           | POST   | /v1/completions        | free  | {"model":"sipario-llm","prompt":"a"}  | 200    |                    | done    |

  Scenario: A body over the bound is refused with status 413
    Given a deployment for callers
    When a caller sends a completion whose body is larger than the limit
    Then the caller gets the status 413, the code "body_too_large" and the outcome "not_run"

  Scenario: An entry answers after it was idle for longer than a lease
    Given a deployment for callers
    When the deployment for callers is idle for 2500 ms
    And a caller sends "POST" "/v1/completions" with the key "paid" and the body '{"model":"sipario-llm","prompt":"a"}'
    Then the caller gets the status 200, the code "" and the outcome "done"

  Scenario: A booking under one ticket runs once through two entries
    Given a deployment for callers
    When a caller books 3 times under one ticket through each entry at once
    Then every booking response is the same and the booking ran once

  Scenario: A ticket that was voided never runs
    Given a deployment for callers
    When a caller voids a ticket and books under it
    Then the caller gets the status 409, the code "ticket_unknown" and the outcome "not_run"

  # Guards against "not run" for a call that has run under its ticket, when a later call under it is refused before it is routed.
  Scenario Outline: A call under a used ticket is not called not run when it is repeated <how>
    Given a deployment for callers
    When a caller books under a ticket and repeats the booking <how>
    Then the caller gets the status <status>, the code "<code>" and the outcome "unknown"

    Examples:
      | how                   | status | code              |
      | with a wrong key      | 401    | invalid_api_key   |
      | with a body too large | 413    | body_too_large    |
      | at another service    | 404    | service_not_found |

  Scenario: A ticket of a leaving backend server is refused as not run only when it was not used
    Given a deployment for callers
    When a caller books under a ticket, and its backend server is leaving when the booking is repeated
    Then every booking response is the same and the booking ran once
    And an unused ticket of the leaving backend server is refused as "draining" with "not_run"
