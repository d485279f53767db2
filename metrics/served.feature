Feature: Metrics that a process serves

  Scenario: The served metrics hold counters, latencies and gauges as text
    Given served metrics at a free port with a gauge "workers" of 3
    When 2 requests of "registre" and a wait of 40 ms are recorded in the served metrics
    Then the served metrics have the lines
      | briarloom_requests_total{service="registre",status="200",reason="answered"} 2 |
      | briarloom_hold_ms_bucket{le="50"} 1                                           |
      | briarloom_hold_ms_bucket{le="25"} 0                                           |
      | briarloom_workers 3                                                           |

  Scenario: Served metrics whose port is taken say so and go on
    Given served metrics at a free port with a gauge "workers" of 3
    When other served metrics listen on the same port
    Then the other served metrics report that the port is in use
