Feature: Leases
  Scenario: A lease table lets a lease end and never renews it after its end
    Given a lease table of 1000 ms with leases of "entry-1#1" and "entry-2#1" at 0 ms
    When the lease of "entry-1#1" is renewed at 600 ms
    Then the lease table expires "entry-2#1" at 1000 ms
    And the lease of "entry-1#1" cannot be renewed at 1600 ms
    And the lease table expires "entry-1#1" at 1600 ms

  Scenario: A lease table gives up every lease after a pause
    Given a lease table of 1000 ms with leases of "entry-1#1" and "entry-2#1" at 0 ms
    When the lease table expires all leases
    Then the lease of "entry-1#1" cannot be renewed at 1 ms
