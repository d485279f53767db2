Feature: Bounded subsets of peers
  Scenario Outline: Subsets of <entries> entries cover every agent, are bounded and spread over availability zones
    Given a subset deployment of <entries> entries and <agents> agents in 3 availability zones with <groups> groups
    When every entry chooses its subset of <wanted> agents of each group with a coverage of 3
    Then each subset has at least <wanted> agents of each group, at most <most> in all, and every zone in each group
    And each agent is in at least 3 subsets and at most <subsets>

    Examples:
      | entries | agents | groups | wanted | most | subsets |
      | 86      | 940    | 18     | 8      | 240  | 40      |
      | 8       | 300    | 2      | 3      | 180  | 8       |

  Scenario: The loss of one host moves only the connections of that host
    Given a subset deployment of 86 entries and 940 agents in 3 availability zones with 18 groups
    When every entry chooses its subset of 8 agents of each group with a coverage of 3
    Then without agent 17 the subsets lose only that agent and gain at most as many agents as lost it
    And without entry 17 the other subsets lose no agent

  Scenario: Relay trees reach every process within a few steps although any one process is gone
    Given a subset deployment of 30 entries and 365 agents in 3 availability zones with 18 groups
    Then the relay trees with 3 readers in each zone and a fan-out of 4 reach all others in at most 10 steps without any one process
    And each process of the relay trees chooses at most 8 links and has at most 32

  Scenario: The loss of a reader changes one reader of its zone
    Given a subset deployment of 30 entries and 365 agents in 3 availability zones with 18 groups
    Then the subset readers are 3 in each zone and change by one when a reader is lost

  Scenario: A subset of a group that spans more zones than it takes agents stays bounded
    Given a subset deployment of 4 entries and 130 agents in 13 availability zones with 1 groups
    When every entry chooses its subset of 2 agents of each group with a coverage of 0
    Then each subset has exactly 2 agents

  Scenario: A subset of a group loses only what a lost host held although it spans many zones
    Given a subset deployment of 26 entries and 390 agents in 13 availability zones with 3 groups
    When every entry chooses its subset of 5 agents of each group with a coverage of 0
    Then without agent 17 the subsets lose only that agent and gain at most as many agents as lost it

  Scenario Outline: Exchange points are odd in number, lie in different zones, and one lost machine replaces at most one
    Then subset exchange points of 3 among <machines> machines in <zones> zones are <count> in <spread> zones and change by at most one

    Examples:
      | machines | zones | count | spread |
      | 1        | 1     | 1     | 1      |
      | 2        | 2     | 1     | 1      |
      | 4        | 2     | 3     | 2      |
      | 24       | 6     | 3     | 3      |
      | 300      | 13    | 3     | 3      |

  Scenario: A process without candidates has no exchange points
    Then subset exchange points of 3 among 0 machines in 1 zones are 0 in 0 zones and change by at most one
