Feature: Settings files
  Scenario: Settings with comments get the defaults of limits and timings
    When settings of an entry leave out limits and timings
    Then the settings are loaded with a lease of 2000 ms, a heartbeat of 500 ms and a grace period of 30000 ms

  Scenario Outline: Settings with a fault name line, path and what was expected
    When settings of an <process> have "<path>" set to <value>
    Then the settings are rejected at line <line> and path "<path>" with "<expected>"

    Examples:
      | process | path                | value   | line | expected                           |
      | entry   | limits.maxFrameByte | 5       | 18   | the nearest is maxFrameBytes  |
      | entry   | http.prot           | 80      | 10   | the nearest is port           |
      | entry   | htpp                | {}      | 18   | the nearest is http           |
      | entry   | peer.port           | 70000   | 8    | at most 65535                      |
      | entry   | peer.host           | "levis" | 8    | an IP number                       |
      | entry   | psk                 | {}      | 18   | a string                           |
      | entry   | timings.heartbeatMs | 1500    | 17   | at most half                       |
      | agent   | backend.kind        | "motor" | 7    | a known kind                       |
      | agent   | backend.adapter     | "grpc"  | 7    | one of engine_http                 |
      | agent   | http                | {}      | 18   | a known key                        |

  Scenario: Settings that are no JSON name the line
    When settings have a syntax error in line 3
    Then the settings are rejected at line 3 and path "" with "JSON with comments"
