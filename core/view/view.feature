Feature: A few processes read the store for the others

  Scenario: The readers of a region are spread over its zones, and all processes choose the same ones
    Then 200 random lists of members have the same readers in any order, in as many zones as possible, and one member that leaves changes at most one of them

  # Guards against a process that relies on readers that know less than the store, or that goes back to an older revision.
  Scenario: A process that relies on its readers lacks no change older than the age that it allows, whatever befalls the readers
    Then in 300 random histories of 3 readers that are cut off, frozen and replaced, no covered process lacks a change older than 2000 ms plus the time of a message
    And no process goes back, and each that reaches the store has every change 2600 ms after the last one

  Scenario: A view is relied on only up to its age, and only with all changes that its sender knows
    Given a view tracker that has read up to revision 7
    Then the tracker is not covered
    When the tracker is told of revision 7, 100 ms old
    Then the tracker is covered for 1900 ms and not for 1901 ms
    When the tracker is told of revision 9, 0 ms old
    Then the tracker lacks changes
    And the tracker is not covered after 2000 ms
    And changes after revision 8 cannot be added, changes after revision 6 can

  # Guards against a process that takes the revisions of two eras for one order, in either direction.
  Scenario: A view of another era covers nothing, and a later one is followed with all that it holds
    Given a view tracker that has read up to revision 20
    When the tracker is told of revision 12 of era 1, 0 ms old
    Then the tracker is not covered
    And the tracker lacks changes
    And the tracker can go on from revision 20 of era 0 to revision 12 of era 1
    And the tracker cannot go on from revision 12 of era 1 to revision 13 of era 1
    And the tracker cannot go on from no revision to revision 12 of era 1
    When the tracker goes on to revision 12 of era 1, 0 ms old
    Then the tracker is covered for 2000 ms and not for 2001 ms
    And the tracker cannot go on from revision 20 of era 0 to revision 21 of era 0

  Scenario: A process that has heard of a later era does not rely on a view of its own
    Given a view tracker that has read up to revision 20
    When the tracker is told of revision 12 of era 1, 0 ms old
    And the tracker is told of revision 20, 0 ms old
    Then the tracker is not covered

  # Guards against a reader of a build without eras, whose revisions may be those of any era.
  Scenario: A view that names no era covers nothing in a later one
    Given a view tracker that has read up to revision 20
    When the tracker goes on to revision 12 of era 1, 5000 ms old
    And the tracker is told of revision 20, 0 ms old
    Then the tracker is not covered

  Scenario: Records are ordered by era and then by revision
    Then a record of era 0 and revision 20 gives way to one of era 1 and revision 12, which stays when the first one comes again
    And a deletion at era 0 and revision 20 leaves a record of era 1 and revision 12, and a deletion at era 1 and revision 13 leaves nothing
    And a complete read at era 1 and revision 12 deletes a record of era 0 and revision 20 that it lacks, and none of era 1 and revision 13

  # Guards against a process that stays behind, or goes back, for any order of restores, partitions and messages.
  Scenario: After any restores and partitions, all processes have what the store has, and no version has gone back
    Then in 300 random histories of a store that is restored, 3 readers and 2 followers, all agree with the store 4000 ms after the last event
    And in none of them a version in force has gone back
