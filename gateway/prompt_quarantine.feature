Feature: The gateway holds back prompts that crash engines

  Background:
    Given a gateway site with engines
      | id | stage   | events | every |
      | p1 | prefill | 0      | 0     |
      | d1 | decode  | 12     | 15    |
      | d2 | decode  | 12     | 15    |
      | d3 | decode  | 12     | 15    |
      | d4 | decode  | 12     | 15    |

  # Guards against engines that crash one after the other under requests of one kind (docs/incidents/deadly-prompt-part.md).
  Scenario: Prompts with a part that crashes engines stop reaching engines after three crashes
    Given gateway engines that crash under the part "bad"
    When a gateway client requests 10 generations on "/stream/x" with the parts "system bad", 250 ms apart
    Then the gateway engines saw 3 decodes with the part "bad"
    And 7 of the gateway responses have the status 503 and a Retry-After header above 60 s

  # Guards against a bad part behind more parts than are recorded, of which messages to sidecars must hold the evidence too (review/8).
  Scenario Outline: The bad part of prompts with <parts> parts is found and told, and sound prompts with the other parts are served
    Given a sidecar of the gateway engines
    And a second gateway beside the first
    And gateway engines that crash under the part "bad"
    When a gateway client requests 5 generations on "/stream/x" with <parts> shared parts and the part "bad", each after one without it
    Then the gateway engines saw 3 decodes with the part "bad"
    And the last 2 sound responses of the gateway have the status 200
    And the second gateway holds back a generation with <parts> shared parts and the part "bad"
    And the second gateway serves a generation with <parts> shared parts

    Examples:
      | parts |
      | 17    |
      | 400   |

  Scenario: A stream that may go on elsewhere does not carry the part that crashes engines on without end
    Given gateway engines that crash under the part "bad"
    When a gateway client requests 10 generations on "/resume/x" with the parts "system bad", 250 ms apart
    Then the gateway engines saw at most 5 decodes with the part "bad"

  Scenario: Engines that crash with a clean end of an answer without a length are counted
    Given gateway engines that crash under the part "bad" and end their answer cleanly
    When a gateway client requests 10 generations on "/stream/x" with the parts "system bad", 250 ms apart
    Then the gateway engines saw at most 4 decodes with the part "bad"

  Scenario: Sound prompts of the same route, caller and first part are served while bad ones come
    Given gateway engines that crash under the part "bad"
    When a gateway client requests 5 generations on "/stream/x" with the parts "system bad", 250 ms apart, each after one with the parts "system" and one with "system letter"
    Then the last 6 sound responses of the gateway have the status 200
    And the gateway engines saw 3 decodes with the part "bad"

  Scenario: Engines that crash whatever their prompts condemn no prompt that has been answered
    Given gateway engines that crash under every second prompt
    When a gateway client requests 12 generations on "/stream/x" with the parts "system", 250 ms apart
    Then no gateway response was held back

  Scenario: What one gateway has learned holds at another one, and at one that starts later
    Given a sidecar of the gateway engines
    And a second gateway beside the first
    And gateway engines that crash under the part "bad"
    When a gateway client requests 3 generations on "/stream/x" with the parts "system bad", 250 ms apart
    Then the second gateway holds back a generation with the parts "system bad"
    And a gateway that starts now holds back a generation with the parts "system bad"
    And the second gateway serves a generation with the parts "system"
