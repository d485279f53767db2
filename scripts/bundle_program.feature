Feature: The bundle of the processes that run on the platform

  Scenario: The bundle loads modules of Node and one package, and starts
    When the platform's programs are bundled
    Then the bundle imports only Node modules and "ts-results"
    And the bundle names the missing environment variable on standard error and exits with 1

  # Guards against a process that stands still for seconds: Node parses the whole bundle for the message of a failed assertion.
  Scenario: The bundle has no assertions whose messages are read from its source
    When the platform's programs are bundled
    Then the bundle imports none of "assert, node:assert, assert/strict, node:assert/strict"
