Feature: A store that comes back from an older copy

  # Guards against records that are passed over because their revisions were given out before.
  Scenario Outline: A version that is confirmed after the restore is in force in time, <watches>
    Given a restorable store with version 2, 2 readers and 2 followers
    When the restorable store is copied and then confirms versions 3 to 6
    Then all processes of the restorable store know version 6 within 500 ms
    When the restorable store comes back from the copy, <watches>
    And version 7 is written to the restorable store
    Then all processes of the restorable store know version 7 within 2000 ms
    And no process of the restorable store has gone back to a lower version

    Examples:
      | watches                 |
      | after an outage         |
      | while the watches wait  |

  # Guards against changes that are missed in silence: nothing but the header tells that revisions were given out again.
  Scenario: Changes are not missed when the revisions have passed the known ones before a watch returns
    Given a restorable store with version 2, 2 readers and 2 followers
    When the restorable store is copied and then confirms versions 3 to 6
    Then all processes of the restorable store know version 6 within 500 ms
    When the restorable store comes back from the copy, while the watches wait
    And the workers "i-1,i-2" and version 7 and 9 items more are written to the restorable store
    Then all processes of the restorable store know version 7 within 1000 ms
    And all processes of the restorable store know the workers "i-1,i-2" within 100 ms

  Scenario: Two restores in a row are followed
    Given a restorable store with version 2, 2 readers and 2 followers
    When the restorable store is copied and then confirms versions 3 to 6
    And the restorable store comes back from the copy, while the watches wait
    And version 7 is written to the restorable store
    Then all processes of the restorable store know version 7 within 2000 ms
    When the restorable store comes back from the copy, while the watches wait
    And version 8 is written to the restorable store
    Then all processes of the restorable store know version 8 within 2000 ms

  # Guards against requests to workers that have left, and against the loss of workers that the copy lacks.
  Scenario: Workers stay what they are known to be until they had time to write again
    Given a restorable store with version 2, 2 readers and 2 followers
    And the workers "leaving,gone,alive,dead" in the restorable store
    When the restorable store is copied
    And the worker "leaving" is draining and the worker "gone" is removed from the restorable store
    And the workers "new,lost" are written to the restorable store
    Then all processes of the restorable store know the workers "alive,new,lost" within 500 ms
    When the restorable store comes back from the copy, after an outage
    Then for 1500 ms all processes of the restorable store know the workers "alive,new,lost" as ready and "leaving,gone" as not
    When the workers "new" are written to the restorable store
    And 2000 ms pass at the restorable store
    Then for 100 ms all processes of the restorable store know the workers "alive,new" as ready and "leaving,gone,lost" as not

  # Guards against a follower that takes an answer without items for all items of a later era, and removes every worker.
  Scenario: A process that had read nothing when it asked is told nothing of a later era
    Given a restorable store with version 2, 2 readers and 2 followers
    Then no process of the restorable store answers one that has read nothing

  Scenario: A worker that is draining stays so when an older entry of it is written again in the new era
    Given a restorable store with version 2, 2 readers and 2 followers
    And the workers "leaving" in the restorable store
    When the restorable store is copied
    And the worker "leaving" is draining and the worker "none" is removed from the restorable store
    And the restorable store comes back from the copy, after an outage
    And 500 ms pass at the restorable store
    And an entry of the worker "leaving" from before is written to the restorable store
    Then for 1000 ms all processes of the restorable store know the workers "" as ready and "leaving" as not

  Scenario: A worker that is gone does not come back while a restored store is away again
    Given a restorable store with version 2, 2 readers and 2 followers
    And the workers "gone" in the restorable store
    When the restorable store is copied
    And the worker "none" is draining and the worker "gone" is removed from the restorable store
    And the restorable store comes back from the copy, after an outage
    And 1500 ms pass at the restorable store
    And the restorable store falls silent
    Then for 4500 ms all processes of the restorable store know the workers "" as ready and "gone" as not

  # Guards against a worker that lapsed, wrote again in the new era and is still taken for gone.
  Scenario: A worker that was removed before the restore counts again as soon as it has written again
    Given a restorable store with version 2, 2 readers and 2 followers
    And the workers "i-1" in the restorable store
    When the restorable store is copied
    And the worker "i-1" is removed from the restorable store
    Then no process of the restorable store knows the worker "i-1" within 500 ms
    When the restorable store comes back from the copy, after an outage
    And the workers "i-1" are written to the restorable store
    Then all processes of the restorable store know the workers "i-1" within 1000 ms

  # Guards against a process that serves an older version because it started while the store had only the copy.
  Scenario: A process that starts on the copy learns the version in force from the others
    Given a restorable store with version 2, 2 readers and 2 followers
    When the restorable store is copied and then confirms versions 3 to 6
    Then all processes of the restorable store know version 6 within 500 ms
    When the restorable store comes back from the copy, after an outage
    And a process starts at the restorable store
    Then all processes of the restorable store know version 6 within 700 ms
    When version 6 is written to the restorable store again
    And version 7 is written to the restorable store
    Then all processes of the restorable store know version 7 within 1000 ms

  # Guards against a start that counts as an outage of the store, during which no worker is removed.
  Scenario: Records of the same era that a starting process has from others delay no removal
    Given a restorable store with version 2, 2 readers and 2 followers
    And the workers "i-1" in the restorable store
    When a process starts at the restorable store with the records of the first one
    And the worker "i-1" is removed from the restorable store
    Then no process of the restorable store knows the worker "i-1" within 500 ms

  # Guards against a worker that nobody removes, since its deletion came before the read and the record after it.
  Scenario: A record that another process still has does not bring back a worker that the store no longer lists
    Given a restorable store that answers for the workers, of which it lists none, and not yet for the rules
    When the reader of the restorable store is told of the worker "i-1" by another process
    Then the reader of the restorable store knows no worker

  Scenario: A process that the store refuses enters the new era with the readers
    Given a restorable store with version 2, 2 readers and 2 followers
    When the restorable store is copied and then confirms versions 3 to 6
    And the restorable store refuses the followers
    And the restorable store comes back from the copy, while the watches wait
    And version 7 is written to the restorable store
    Then all processes of the restorable store know version 7 within 2000 ms

  Scenario Outline: An era that is <what> does no lasting harm
    Given a restorable store with version 2, 2 readers and 2 followers
    When the restorable store names the era <text> for 300 ms
    And version 3 is written to the restorable store
    Then all processes of the restorable store know version 3 within 2500 ms
    And a process of the restorable store has logged <log>

    Examples:
      | what           | text               | log                      |
      | not a number   | "soon"             | "the era cannot be read" |
      | negative       | "-1"               | "the era cannot be read" |
      | beyond numbers | "9007199254740993" | "the era cannot be read" |
      | earlier        | "0"                | "era 0 after era 1"      |

  Scenario: One answer that names a far later era does not lock a process out of the true one
    Given a restorable store with version 2, 2 readers and 2 followers
    When one answer of the restorable store names the era "4000"
    And version 3 is written to the restorable store
    Then all processes of the restorable store know version 3 within 2500 ms

  # Guards against an older build that takes the revisions of a later era for its own, in a rolling upgrade.
  Scenario: A follower of a build without eras is not told of a later era
    Given a restorable store with version 2, 2 readers and 2 followers
    Then in 3000 ms a follower without eras hears nothing from a reader of the restorable store, and one with eras does
