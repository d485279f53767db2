Feature: Settings and records files with hostile content
  Scenario Outline: Any text gives settings and records or faults with a line
    Then the settings and records loaders return a value or problems for <runs> texts of the kind "<kind>" with seed <seed>

    Examples:
      | kind    | runs | seed |
      | random  | 2000 | 21   |
      | json    | 2000 | 22   |
      | changed | 1500 | 23   |

  Scenario: Settings that nest deeply are refused
    Then the settings and records loaders reject 100000 nested brackets

  Scenario: Any value of a record is decoded or refused with its key
    Then the settings record decoder returns a record or an error with its key for 5000 changed records with seed 24
