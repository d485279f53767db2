Feature: Keys come and go with the versions of the rules, however a process learns of them

  Background:
    Given a store of keys with 2 readers and 2 followers, whose version 1 has the key "k-1"

  Scenario: A process that is cut off from the store learns from the others that a key was withdrawn
    When the store of keys is silent to the followers
    And version 2 of the store of keys has the key "k-2"
    Then all processes of the store of keys know "k-2" and not "k-1" within 4000 ms

  Scenario: A process that starts while the store is away learns the newest keys from another one
    When version 2 of the store of keys has the key "k-2"
    And all processes of the store of keys know "k-2" and not "k-1" within 4000 ms
    And the store of keys is silent to the followers
    And one more process of the store of keys starts
    Then all processes of the store of keys know "k-2" and not "k-1" within 4000 ms

  # Guards against a withdrawn key that comes back with a copy of the store.
  Scenario: A store that comes back from a copy brings no withdrawn key back
    When version 2 of the store of keys has the key "k-2" and the store comes back from a copy of version 1
    Then no process of the store of keys knows "k-1" for 1500 ms
    When one more process of the store of keys starts
    Then all processes of the store of keys know "k-2" and not "k-1" within 2000 ms

  Scenario: A version with malformed organisations changes no process, and none logs a key
    When version 2 of the store of keys has the key "k-2" in a malformed list
    Then no process of the store of keys knows "k-2" for 500 ms
    And the processes of the store of keys have logged "configuration refused" and no key
