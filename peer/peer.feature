Feature: The table of peers
  Scenario: Two peers that dial each other at once settle on one connection
    Given peers "a" and "b" that listen
    When the peers dial each other at the same time
    Then the peers keep one connection and both can send within 2000 ms

  Scenario: A peer that comes back with a new incarnation replaces its old connection
    Given peers "a" and "b" that listen
    When peer "a" dials "b", and "b" restarts at the same address
    Then peer "a" sees the new incarnation of "b" within 3000 ms
