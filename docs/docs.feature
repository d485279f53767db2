Feature: Pages
  Scenario: The callers' page names every refusal code beside its status
    When the page "callers.md" is read
    Then the page has every refusal code in the row of its HTTP status

  Scenario Outline: The commands on a page exist
    When the page "<page>" is read
    Then every command "briarloom" on the page is one that the program knows

    Examples:
      | page         |
      | operators.md |

  Scenario: The operators' page explains every log line of the sources
    When the page "operators.md" is read
    Then the page has a row for each text that the daemons log
