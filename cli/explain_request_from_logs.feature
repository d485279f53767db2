Feature: The story of a request from log files

  Scenario: The log story merges the lines of several processes in order, with their context
    Given a log file "edge-1.log" with the lines
      | time | name   | msg                    | request |
      | 01.0 | edge-1 | listening              |         |
      | 05.0 | edge-1 | configuration in force |         |
      | 06.0 | edge-1 | reserved               | r-1     |
      | 06.1 | edge-1 | ended                  | r-2     |
      | 07.0 | edge-1 | attempt failed         | r-1     |
    And a log file "edge-2.log" with the lines
      | time | name   | msg      | request |
      | 06.5 | edge-2 | refused  | r-1     |
      | 06.6 | edge-2 | stopping |         |
    Then the log story of "r-1" has the lines "edge-1 (context) configuration in force, edge-1 reserved, edge-2 refused, edge-1 attempt failed"
    And the log story of "r-9" says that none of 7 lines names it

  Scenario Outline: The command check names field and value of <file>
    Given a file "<file>" with the text '<text>'
    Then the command check of "<file>" ends with <code> and says "<says>"

    Examples:
      | file         | text                                       | code | says                    |
      | node.json    | {"node_name":"edge-1"}                     | 1    | bounds.grace_s          |
      | policy.jsonc | {"stages":{"policy":"all"},"packing":{}}   | 1    | stages.policy: expected |
