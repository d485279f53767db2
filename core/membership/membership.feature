Feature: Membership from hints
  Background:
    Given a membership view of "b1", listed live, connected at incarnation 5

  Scenario Outline: A member that <what> is <state> because of <reason>
    When the member events "<events>" happen
    Then the member "b1" is "<state>" because of "<reason>"

    Examples:
      | what                                         | events                                           | state   | reason         |
      | makes progress                               | 100 busy 1; 1700 busy 2; 3000 tick               | alive   | progress       |
      | is idle with a counter that rests            | 100 idle 1; 1700 idle 1; 3000 tick               | alive   | progress       |
      | beats without progress while work is owed    | 100 busy 1; 1000 busy 1; 2000 busy 1             | suspect | stalled        |
      | moves again after a stall                    | 100 busy 1; 2000 busy 1; 2100 busy 2             | alive   | progress       |
      | falls silent                                 | 100 busy 1; 1700 tick                            | suspect | silent         |
      | loses its connection                         | 100 disconnect 5                                 | suspect | disconnected   |
      | stays without a connection                   | 100 disconnect 5; 10200 tick                     | gone    | disconnected   |
      | is reported gone while disconnected          | 100 disconnect 5; 150 report gone 5              | gone    | disconnected   |
      | is reported gone but makes progress          | 100 report gone 5; 200 busy 1                    | alive   | progress       |
      | is reported suspect                          | 100 report suspect 5                             | suspect | reported       |
      | was reported suspect long ago                | 100 report suspect 5; 11000 busy 9               | alive   | progress       |
      | is reported under an old incarnation         | 100 report gone 4                                | alive   | connected      |
      | drains while the list is stale               | 100 drain 5; 200 list live; 3100 busy 7          | leaving | draining       |
      | is leaving by report while the list is stale | 100 report leaving 5; 200 list live; 3100 busy 7 | leaving | reported       |
      | is leaving by the list                       | 100 list leaving; 200 busy 1                     | leaving | listed_leaving |
      | restarts after it drained                    | 100 drain 5; 500 disconnect 5; 600 connect 6     | alive   | connected      |
      | says goodbye late under an old incarnation   | 100 connect 6; 200 disconnect 5; 300 drain 5     | alive   | connected      |
      | is off a list that lags                      | 100 list none; 200 busy 1                        | alive   | progress       |
      | is off the list and disconnected             | 100 list none; 200 disconnect 5; 1800 tick       | gone    | not_listed     |

  Scenario: A member that leaves gets no new work although the host list is stale
    When the member events "100 busy 1; 200 drain 5; 300 list live; 3200 list live; 3200 busy 2" happen
    Then the member "b1" gets no new work, not even as the last resort

  Scenario: A membership change that this process saw itself is told to peers, and only once
    When the member events "100 disconnect 5; 200 report suspect 5; 300 tick" happen
    Then the membership has 1 change that this process observed itself

  Scenario Outline: A membership change that <first> tells first is still seen by this process itself
    When the member events "<events>" happen
    Then the membership has 1 change that this process observed itself

    Examples:
      | first         | events                                                  |
      | the host list | 100 busy 1; 1700 list live; 1750 tick                   |
      | a peer        | 100 busy 1; 1400 report suspect 5; 1700 tick; 1800 tick |
