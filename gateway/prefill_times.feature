Feature: The time for which a prefill is waited on

  # Guards against prompts that count as lost, and are read twice, while their engine works on the prompts of others.
  Scenario Outline: An engine is waited on while the report of its sidecar shows that it has prompts
    Then for an engine that takes 0.02 ms a token and had <waiting> prompts of 5000 tokens <age> ms ago, <ms> ms more are waited

    Examples:
      | waiting | age | ms  |
      | 3       | 100 | 300 |
      | 0       | 100 | 0   |
      | 3       | 800 | 0   |

  # Guards against decode engines that stop their streams too long for a prompt.
  Scenario: What any gateway has measured of a decode engine counts before what is assumed
    Then a prompt of 4000 tokens is expected to take 180 ms at a decode engine of which nothing is known, and 120 ms at one that took 0.03 ms a token
