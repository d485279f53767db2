Feature: The bundle of the processes that run on the platform

  Scenario: The bundle loads modules of Node and one package, and starts
    When the platform's programs are bundled
    Then the bundle imports only Node modules and "ts-results"
    And the bundle names the missing environment variable on standard error and exits with 1
