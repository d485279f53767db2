Feature: Placement of engines
  Background:
    Given a placement of 4 models on 72 engines in 3 availability zones with 2 replicas and a prefill share of 0.4

  Scenario: Every model has its replicas of each version in each zone
    Then the placement serves each model in each zone with at least 2 decode and 1 prefill engines of each version
    And the placement leaves every engine with the model and role of its record

  Scenario: The loss of any one host moves few engines
    Then the placement moves after the loss of any one host are at most the minimum plus 1 and at most 1.1 times the minimum in all

  Scenario: A zone that lost the engines of a model borrows engines of others
    When the placement loses 5 of the 6 engines of model "m0" in zone "z0"
    Then the placement serves each model in each zone with at least 2 decode and 1 prefill engines of each version

  Scenario: A roll to another version keeps capacity while engines load
    Then a placement rollout of model "m0" never leaves fewer than 2 decode and 1 prefill engines in a zone and ends

  Scenario: Agents with different views never leave a model unserved
    Then 100 random placement schedules with a view for each agent keep a decode and a prefill engine of each model

  Scenario: The share of prefill follows the load with hysteresis
    Then the prefill share controller stays at 0.4 under a short peak, reaches 0.45 under a long one and 0.6 at most
