Feature: What began a stream is remembered, or not known

  # Guards against a stream that goes on at a version which did not begin it.
  Scenario: No history of records makes a stream one of another version
    Then in 500 random histories of an origin table each origin that is found is the only one that was recorded within its time

  Scenario: A table stays within its bounds, and forgets the oldest first
    Given an origin table for 3 records and 1000 ms
    When the origins of "a, b, c, d" are recorded at 0 ms
    Then at 1 ms the origin table knows "b, c, d" and not "a"
    And at 1001 ms the origin table knows "" and not "a, b, c, d"

  Scenario: A stream that is taken up is remembered for its whole time again
    Given an origin table for 3 records and 1000 ms
    When the origins of "a, b" are recorded at 0 ms
    Then at 900 ms the origin table knows "a" and not ""
    And at 1500 ms the origin table knows "a" and not "b"

  # Guards against the loss of a region that takes all who remember a stream.
  Scenario: The points of a stream stand in different zones, and in both regions
    Then of 300 keys the points among 24 candidates in 6 zones of 2 regions stand in 3 zones and 2 regions

  Scenario: Candidates that leave are chosen last
    Then of 300 keys no point among 24 candidates in 6 zones of 2 regions leaves while 12 of them do

  Scenario: A candidate that comes or goes moves few points
    Then a candidate that joins 24 in 6 zones of 2 regions takes at most a sixth of the points of 300 keys, and no other point changes

  Scenario: The points of many keys are spread evenly
    Then of 3000 keys no candidate among 24 in 6 zones of 2 regions is a point of more than twice its part
