Feature: Processes follow those that read the store

  Background:
    Given 2 stores with the same items, 3 readers at the first one, and 4 followers at the second one

  Scenario: Changes and deletions reach all followers, which make no calls
    When 3500 ms pass at the view
    And the view calls are counted from now on
    And version 2 and the worker "i-1" are written to the view stores
    Then all view processes know version 2 and the worker "i-1" within 400 ms
    When the worker "i-1" is removed from the view stores
    Then no view process knows the worker "i-1" within 400 ms
    And the second view store has got 0 calls

  # The store reads of a region must not grow with its processes.
  Scenario: Twice the followers make no more calls
    Given 4 more view followers
    When 3500 ms pass at the view
    And the view calls are counted from now on
    And 3000 ms pass at the view
    Then the second view store has got 0 calls
    And the first view store has got at most 15 calls

  Scenario Outline: A version is in force in time when all readers are <what>
    When 3500 ms pass at the view
    And all view readers are <what>
    And version 2 and the worker "i-1" are written to the view stores
    Then all view followers know version 2 and the worker "i-1" within 2500 ms

    Examples:
      | what                 |
      | killed               |
      | cut off by the store |
      | refused by the store |

  # Guards against requests that are sent to a worker when its drain time is over, because a process counts that from when it has learned of it.
  Scenario Outline: A worker that <what> while the readers are silent counts as leaving from before the store's answer on
    Given the worker "i-1" in the view stores
    When 3500 ms pass at the view
    And all view readers are cut off by the store
    And the worker "i-1" <what> in the view stores
    Then all view followers know within <ms> ms that "i-1" leaves, and count from at most 1500 ms before the store's answer on

    # A removal takes effect when the worker had time to write its entry again.
    Examples:
      | what       | ms   |
      | drains     | 2500 |
      | is removed | 5000 |

  Scenario: Followers that the store refuses learn changes from the readers
    When 3500 ms pass at the view
    And the second view store is "busy"
    And version 2 and the worker "i-1" are written to the view stores
    Then all view processes know version 2 and the worker "i-1" within 400 ms

  # Guards against workers that are dropped although their entries expired only because the store was down.
  Scenario: Entries that lapsed while the store was down are not dropped at once by followers either
    Given the worker "i-1" in the view stores
    When 3500 ms pass at the view
    And both view stores are "busy" for 1500 ms and lose the entry of "i-1" meanwhile
    Then all view processes know the worker "i-1" for 1500 ms more

  Scenario: A deletion that the history of the store no longer has reaches the followers
    Given the worker "i-1" in the view stores
    When 3500 ms pass at the view
    And the worker "i-1" is removed from the view stores while they forget their history
    Then no view process knows the worker "i-1" within 3000 ms

  # Guards against a worker that is sent requests for good, because its removal fell between the life of a reader and its next one.
  Scenario: A removal that the readers missed while they were down reaches the followers
    Given the worker "i-1" in the view stores
    When 3500 ms pass at the view
    And the view calls are counted from now on
    And the view readers are killed, the worker "i-1" is removed, and the readers start again after 500 ms
    Then no view process knows the worker "i-1" within 4000 ms
    And the second view store has got at most 8 calls

  # Guards against a frame over the limit, after which followers lose each reader again and again.
  Scenario Outline: Large entries that name no worker do not keep followers from what comes after them
    When 3500 ms pass at the view
    And the second view store is "busy"
    And <count> entries of <length> characters that name no worker are written to the view stores
    And version 2 and the worker "i-1" are written to the view stores
    Then all view processes know version 2 and the worker "i-1" within 1000 ms

    Examples:
      | count | length |
      | 6     | 900000 |
      | 75    | 60000  |

  Scenario: A process follows the store on when a receiver of its changes throws
    Given a view process whose receiver of rules throws
    When 300 ms pass at the view
    And version 2 and the worker "i-1" are written to the view stores
    Then all view processes know version 2 and the worker "i-1" within 1000 ms

  # Guards against one key that no request can name, and that ends the read of all others.
  Scenario: A key with a lone surrogate keeps nobody from the other items
    Given the workers "i-1, i-2, i-3, i-4, i-5" in the view stores, of which "i-4" has a key with a lone surrogate
    And a view process whose receiver of rules throws
    When 500 ms pass at the view
    And version 2 and the worker "i-6" are written to the view stores
    Then all view processes know version 2 and the worker "i-5" within 1000 ms

  # Guards against a live worker that counts as deleted because its item cannot be read for a while.
  Scenario: A worker whose item cannot be used in a complete read stays known
    Given the worker "i-1" in the view stores
    When 300 ms pass at the view
    And the item of "i-1" has the revision 1.5 and the view stores forget their history
    And version 2 and the worker "i-2" are written to the view stores
    And 3000 ms pass at the view
    Then all view processes know version 2 and the worker "i-1" within 100 ms

  # Guards against pages that are read again and again, in a loop without end.
  Scenario: A page whose last key is not above the one before counts as a failed call
    Given the workers "i-1, i-2, i-3, i-4, i-5" in the view stores, of which "i-4" has the key "servers/a"
    And the view calls are counted from now on
    And a view process whose receiver of rules throws
    When 1000 ms pass at the view
    Then the second view store has got at most 60 calls

  # Guards against a large configuration of which a process with a slow link is sent one copy after the other, none in time.
  Scenario: A large configuration is in force in time at a follower with a slow link
    Given a view follower whose link carries 300000 bytes a second
    When 1000 ms pass at the view
    And the second view store is "busy"
    And version 2 with 1400 routes more is written to the view stores, and the entry of a worker each 100 ms for 1500 ms
    Then the view follower with the slow link knows version 2 within 1000 ms more
    And it was sent at most 200000 bytes

  # Guards against a response that is given up for its length and begun again and again, while each copy delays all others.
  Scenario Outline: A large configuration is in force in time at a process whose link to the store is slow, <when>
    Given a view process without readers whose link to the store carries 250000 bytes a second
    When 1000 ms pass at the view
    And version 2 with 1400 routes more is written to the view stores, <when>
    Then the view process with the slow link knows version 2 within 3000 ms more

    Examples:
      | when                        |
      | while it watches            |
      | while it has just failed    |
      | while it has just started   |

  # Guards against a start in which each round of requests throws away what has come of the replies to the one before.
  Scenario: A process that starts while the store is away learns a large configuration over a slow link
    Given a view process that gives its records to others
    When version 2 with 1400 routes more is written to the view stores, while it watches
    And 500 ms pass at the view
    And a process starts whose link to three such seeds carries 300000 bytes a second, while the store is away
    Then the view process with the slow link knows version 2 within 1000 ms more
    # What it knows already is not sent once more.
    When 2000 ms pass at the view
    Then it was sent at most 200000 bytes
