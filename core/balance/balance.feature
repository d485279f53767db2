Feature: The balance of engines between prefill and decode

  Scenario: The balance is the same wherever the same entries are seen, and changes as few engines as it can
    Then the stages of 300 random sets of engines do not depend on their order and change for as few engines as possible

  Scenario: The balance leaves a decode engine
    Then the stages of 300 random sets of engines include at least one decode engine

  Scenario Outline: The balance by <policy>
    Then the stage policy "<policy>" with <engines> engines, <prefill> of them prefill, chooses <wanted> prefill engines

    Examples:
      | policy | engines | prefill | wanted |
      | share  | 5       | 2       | 1      |
      | share  | 1       | 1       | 0      |
      | share  | 2       | 0       | 1      |
      | share  | 24      | 8       | 5      |
      | none   | 5       | 2       | 0      |
      | keep   | 5       | 2       | 2      |

  Scenario: The balance keeps its choice while an engine switches, though one that starts meanwhile has a lower identity
    Then the decode engines "i-5, i-6, i-7", oldest first, have the same prefill engine chosen after "i-1" has started
