Feature: Fencing of orders
  Scenario Outline: A fence with a newer view gives a higher number
    Then a fence of revision <revision>, engine number <engine> and incarnation <incarnation> is above one of 12, 0 and 2

    Examples: a newer configuration, a newer view of the engine, and a later incarnation with the same view
      | revision | engine  | incarnation |
      | 13       | 0       | 1           |
      | 12       | 20480   | 1           |
      | 12       | 0       | 3           |

  # Guards against fences that go down when the platform's store comes back from an older copy and gives out revisions again.
  Scenario Outline: A fence of a later era is higher, whatever the revisions
    Then a fence of era <era>, revision <revision> and incarnation 0 is above one of era <before>, revision <revisionBefore> and incarnation 1023, and a safe integer

    Examples:
      | era  | revision   | before | revisionBefore |
      | 1    | 1          | 0      | 1000000000     |
      | 2    | 12         | 1      | 5000           |
      | 8191 | 1000000000 | 8190   | 1000000000     |

  Scenario: An order sequencer reads the state before and after an order
    Given an order sequencer for "decode m 2"
    When the engine's state reads "decode m 1"
    Then the order sequencer does "send_order"
    When the order is answered
    Then the order sequencer does "read_state"
    When the engine's state reads "decode m 2"
    Then the order sequencer does "in_force"

  Scenario: An order sequencer orders again when another agent changed the engine after its order
    Given an order sequencer for "decode m 2"
    When the engine's state reads "decode m 1"
    And the order is answered
    And the engine's state reads "decode m 3"
    Then the order sequencer does "send_order"
    And the second order has a higher fencing number

  Scenario: An order sequencer waits while an engine loads
    Given an order sequencer for "decode m 2"
    When the engine's state reads "decode m 1 loading"
    Then the order sequencer does "read_state_later"

  Scenario: An order sequencer drops a state that was read before a pause
    Given an order sequencer for "decode m 2"
    When the agent pauses
    Then the order sequencer does "read_state"
    When the engine's state from before the pause reads "decode m 1"
    Then the order sequencer does ""
