Feature: Conformance of the core objects to the specifications
  Scenario Outline: Schedules of seed <seed> keep what must always hold
    When <schedules> conformance schedules of seed <seed> run
    Then the conformance schedules reached complete answers, refusals and ticket runs

    Examples:
      | seed | schedules |
      | 1    | 5000      |
      | 2    | 5000      |
