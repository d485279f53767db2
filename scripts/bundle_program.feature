Feature: The bundle of the processes that run on the platform

  Scenario: The bundle loads modules of Node and one package, and starts
    When the platform's programs are bundled
    Then the bundle loads nothing but modules of Node and "ts-results"
    And the bundle says that the variable with its settings is missing and ends with 1
