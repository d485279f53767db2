Feature: A connection to a sidecar that carries nothing is replaced

  # Guards against streams that are refused for as long as a connection stays open that has fallen silent for good.
  Scenario Outline: Streams are served again when the connections to the sidecars <what>
    Given a gateway site with engines
      | id | stage   | events | every |
      | p1 | prefill | 0      | 0     |
      | d1 | decode  | 4      | 10    |
      | d2 | decode  | 4      | 10    |
    And a sidecar of the gateway engines whose first connection comes to <what>
    When gateway clients request a generation on "/stream/x" 40 times, 100 ms apart
    Then each generation from 2000 ms on was answered with 200

    Examples:
      | what                     |
      | carry nothing            |
      | carry nothing towards it |
