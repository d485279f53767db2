Feature: Adapters of the platform
  Scenario: The platform adapters read what the platform publishes
    Given a platform that answers with valid records and hosts
    Then the platform adapter "config_http" reads every record and waits for changes after a revision
    And the platform adapter "hosts_http" reads hosts with their availability zone

  Scenario Outline: A platform that <fault> gives an error value
    Given a platform that answers <status> with '<body>'
    Then the platform adapters return an error that contains "<text>" with "limited" set to <limited>

    Examples:
      | fault                  | status | body                    | text       | limited |
      | is over its read limit | 429    | {}                      | 429        | true    |
      | fails                  | 500    | {}                      | 500        | false   |
      | sends broken JSON      | 200    | {                       | JSON       | false   |
      | sends a wrong field    | 200    | {"revision":"a","hosts":1} | field   | false   |

  Scenario: A platform that is down or silent gives an error value in time
    Given a platform that never answers
    Then the platform adapters return an error that contains "imeout" with "limited" set to false
    Given a platform that is down
    Then the platform adapters return an error that contains "ECONNREFUSED" with "limited" set to false
