Feature: Examples
  Scenario: Every example of the deployments is valid
    When the examples of "fleuve" and "velluto" are checked
    Then the examples check exits with 0 for each of the 8 files

  Scenario: Every bad example is refused with its fault
    When the examples of "bad" are checked
    Then the examples check exits with 1 for each file and reports the path and the text from its first line

  Scenario: Every finding of the check has an example
    When the examples of "bad_rules" are checked
    Then the examples check reports exactly the findings that each file names

  Scenario Outline: The example records have the workers of the brief
    When the example records of "<deployment>" are read
    Then the example records have <workers> workers that serve "<service>"

    Examples:
      | deployment | service     | workers |
      | fleuve     | redaction   | 6       |
      | fleuve     | registre    | 3       |
      | velluto    | sipario-llm | 6       |
      | velluto    | prenota     | 3       |
