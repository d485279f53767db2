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

  # Guards against streams that nobody can go on with: a stream goes on only at the software version that began it.
  Scenario: One crash does not end a software version, whichever engines prefill when it happens
    Then of 500 random sets of engines of three software versions, each version that has an engine has a decode engine, also when one engine of at least three is lost

  Scenario Outline: The prefill engines of a software version are shared with another one when <what>
    Then the engines "<engines>" keep <first> prefill engines of "v1" and have <second> of "v2"

    Examples:
      | what                                | engines                                                                                                   | first | second |
      | all but one of its engines prefill  | v1 prefill, v1 prefill, v1 decode, v2 decode, v2 decode, v2 decode, v2 decode, v2 decode, v2 decode       | 1     | 1      |
      | the engine that decoded is lost     | v1 prefill, v1 prefill, v2 decode, v2 decode, v2 decode, v2 decode, v2 decode, v2 decode                  | 1     | 1      |
      | only one of its engines is left     | v1 prefill, v2 decode, v2 decode, v2 decode, v2 decode                                                    | 0     | 1      |
      | no other version has one to spare   | v1 prefill, v1 decode, v2 decode                                                                          | 1     | 0      |
      | no version has one to spare         | v1 prefill, v2 decode                                                                                     | 0     | 0      |

  # Guards against two orders in place of one, and against stages that change to and fro in a release.
  Scenario: The balance stays the same until all engines have changed
    Then the stages of 500 random sets of engines of three software versions stay the same while any of the engines have changed

  Scenario: The balance stays the same when an engine starts
    Then the stages of 500 random sets of engines of three software versions do not change when an engine starts that changes neither their number nor its version
