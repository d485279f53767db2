Feature: The router
  Scenario Outline: A router compares candidates as its policy says
    Given a router with the policy "<policy>" and decode backends with the loads 6, 1 and 3
    When the router chooses 300 times without new reports
    Then the router chose the backends in the shares "<shares>"

    Examples:
      | policy       | shares         |
      | least_loaded | 0 1 0          |
      | round_robin  | 0.33 0.33 0.33 |
      | random       | 0.33 0.33 0.33 |
      | power_of_two | 0 0.67 0.33    |

  Scenario: A router gives no work to a backend that leaves, is gone, was excluded or is in another region
    Then the router never chooses an ineligible backend in 500 random sets of backends

  Scenario: A router follows a prefix only as far as the bound on imbalance
    Given a router with the policy "power_of_two" and decode backends with the loads 6, 1 and 3
    When the router records that the backend "d1" holds the prompt
    Then the router chooses "d1" with 6 affinity seats and "d2" with 4

  Scenario: A router forgets a prefix hint that aged
    Given a router with the policy "power_of_two" and decode backends with the loads 6, 1 and 3
    When the router records that the backend "d1" holds the prompt
    Then the router chooses "d2" after 10000 ms with 6 affinity seats

  Scenario: A router trusts an old report less than its own counts
    Given a router with the policy "least_loaded" and decode backends with the loads 6, 1 and 3
    When the router sends 2 requests to "d2" and 3000 ms pass
    Then the router chooses "d1" now

  Scenario: A router gives work to a stalled backend only when no other is left
    Given a router with the policy "least_loaded" and decode backends with the loads 6, 1 and 3
    When "d2" reports to the router that it made no progress for 501 ms
    Then the router chooses "d3" now
    And the router chooses "d2" when "d1" and "d3" are excluded

  Scenario: A router keeps prefill and decode in one region
    Then the router chooses no pair across regions in 500 random sets of backends

  Scenario Outline: A router estimates the first token from the reported queue of the tier and its own work
    Given a router for prefill with 1000 queued tokens, 400 of them paid, and 0.5 ms for each token
    When the router sends 200 tokens and estimates a prefill of 100 more of the tier "<tier>"
    Then the router estimates <ms> ms

    Examples:
      | tier | ms  |
      | free | 650 |
      | paid | 350 |

  Scenario Outline: A router expects a wait where a reservation finds no room
    Then the router expects a wait "<waits>" for "<tier>" work with <seats> of 20 seats and <pieces> of 4000 pieces used and a queue of <queueMs> ms

    Examples:
      | tier | seats | pieces | queueMs | waits |
      | free | 10    | 2000   | 0       | no    |
      | free | 18    | 2000   | 0       | yes   |
      | paid | 20    | 2000   | 0       | no    |
      | paid | 20    | 2000   | 50      | yes   |
      | paid | 10    | 3995   | 0       | yes   |
      | free | 10    | 3700   | 0       | yes   |

  Scenario: A router forgets a handoff delay that brings no samples
    Then the delay estimate of the router halves from 4000 ms in each second without a sample

  Scenario: A router expects no wait at an idle prefill backend, however slow it was
    Given a router for prefill with 1000 queued tokens, 400 of them paid, and 9.5 ms for each token
    When the prefill backend reports to the router that nothing is queued
    Then the router expects 0 ms for a prefill of 100 tokens
