Feature: An agent and the engine beside it
  Scenario: An engine changes its role by its record after its work has ended, while requests go on
    Given a deployment for placement
    When the record of decode host 2 changes to prefill while 12 responses are streamed
    Then every placement response is complete
    And the engine of decode host 2 has the role "prefill" within 6000 ms
    And 6 more placement responses are complete

  Scenario: Two engines under balanced placement keep the model served
    Given a deployment for placement
    When placement is balanced with the model's prefill share at 0.3
    Then each role has an engine at every check during 8000 ms and responses are complete

  Scenario: An attempt that reaches the engine without its agent is freed
    Given a deployment for placement
    When a decode that the agent of decode host 1 does not know starts at the engine
    Then the engine of decode host 1 holds nothing within 6000 ms
