Feature: A stream goes on only at the software version that began it

  Background:
    Given a versioned gateway site with the engines
      | id | version |
      | d2 | v2      |
      | d1 | v1      |
      | d3 | v1      |

  # Guards against an answer that is joined from two versions.
  Scenario: A stream that breaks goes on at another engine of its version
    Given only the versioned engines "d1" have memory
    And the versioned engine "d1" loses its next stream after event 3
    When a versioned client begins the stream "a" while the engines "d2, d3" get memory after event 2
    Then the versioned client has the events 1 to 8 of "a", all of "v1"
    And the versioned answer is complete

  Scenario: A stream that breaks ends when no other engine of its version is left
    Given only the versioned engines "d2" have memory
    And the versioned engine "d2" loses its next stream after event 3
    When a versioned client begins the stream "a" while the engines "d1, d3" get memory after event 2
    Then the versioned client has the events 1 to 3 of "a", all of "v2"
    And the versioned answer is not complete

  Scenario: A stream without an event goes on at an engine of any version
    Given only the versioned engines "d1" have memory
    And the versioned engine "d1" loses its next stream before the head
    When a versioned client begins the stream "a" while the engines "d2" get memory
    Then the versioned client has the events 1 to 8 of "a", all of "v2"

  Scenario: A silent stream goes on only at an engine of its version
    Given only the versioned engines "d1" have memory
    And the versioned engine "d1" falls silent after event 2 for 1900 ms
    When a versioned client begins the stream "a" while the engines "d2, d3" get memory after event 2
    Then the versioned client has the events 1 to 8 of "a", all of "v1"
