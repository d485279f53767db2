Feature: Configuration that only moves forward
  Scenario: A configuration store keeps the newest revision of a record in any order of pages
    Given a configuration store
    When the configuration gets "s" at 9, then "s" at 4
    Then the configuration has "s" in force at revision 9

  Scenario: A configuration store with a gap does not claim the revision of its newest record
    Given a configuration store
    When the configuration gets a complete page at 7 with "s" at 7
    And the configuration gets "t" at 9, without the changes before it
    Then the configuration has "t" in force at revision 9
    And the configuration is complete up to revision 7 and has seen 9
    When the configuration gets a page of the changes above 7 up to 9 with "u" at 8 and "t" at 9
    Then the configuration is complete up to revision 9 and has seen 9

  Scenario: A stale complete page neither deletes nor reverts a record
    Given a configuration store
    When the configuration gets a complete page at 7 with "s" at 7
    And the configuration gets a complete page at 5 with "old" at 3
    Then the configuration has "s" in force at revision 7
    And the configuration has no "old"

  Scenario: A complete page deletes the older records that it misses, for good
    Given a configuration store
    When the configuration gets a complete page at 7 with "s" at 7
    And the configuration gets a complete page at 8 with "t" at 8
    And the configuration gets "s" at 7, without the changes before it
    Then the configuration has no "s"

  Scenario Outline: A record with <fault> leaves the last good one in force and is reported
    Given a configuration store
    When the configuration gets "s" at 4, then the value '<value>' for "s" at 6
    Then the configuration has "s" in force at revision 4
    And the configuration reports "<error>" for "s" at 6 while 4 is in force
    And a configuration store that applies a complete page of it has the same records in force and the same problems

    Examples:
      | fault                  | value        | error          |
      | a later schema version | {"schema":3} | unknown_schema |
      | a missing field        | {"schema":1} | wrong_field    |
      | broken JSON            | {            | not_json       |

  Scenario: Configuration stores agree after any order, loss and repetition, and none reverts
    Then configuration stores converge on the service and never revert
