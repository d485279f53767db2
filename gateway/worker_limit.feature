Feature: The gateway keeps the limits that workers name

  # Without a sidecar, a gateway takes an eighth of a limit (docs/incidents/worker-limit-ignored.md).
  Scenario: A worker that names a limit gets no more than its share of it, and others get the rest
    Given a gateway site with the plain workers "a, b"
    And a gateway worker "a" that limits its rate to 16 a second
    When gateway clients send "GET /safe/x" 60 times, 50 ms apart
    Then every gateway response has the status 200
    And the gateway worker "a" got at most 9 requests, and "b" at least 50

  Scenario: When all workers limit their rate, what they cannot take is refused at once and has not run
    Given a gateway site with the plain workers "a, b"
    And a gateway worker "a" that limits its rate to 8 a second
    And a gateway worker "b" that limits its rate to 8 a second
    When gateway clients send "POST /unsafe/x" 60 times, 50 ms apart
    Then the gateway workers saw as many requests as gateway responses have the status 200, and at most 12
    And the other gateway responses are 503 "worker_limit" with a Retry-After header, each within 150 ms

  # Guards against a request that waits for its place for longer than a removed worker may be sent anything.
  Scenario: A request that waits for its place at a worker that is removed meanwhile goes to another one
    Given a gateway site with a drain time of 300 ms, a target latency of 6000 ms and the plain workers "a"
    And a gateway worker "a" that limits its rate to 32 a second
    When gateway clients send "POST /unsafe/x" 1 times, 50 ms apart
    And gateway clients send "POST /unsafe/x" 8 times, 10 ms apart, while the entry of "a" is removed after 200 ms and the worker "b" comes
    Then the gateway worker "a" got no request later than 300 ms after its removal, and "b" got at least 1
    And every gateway response has the status 200

  Scenario: A limit ends with the first response that does not name it
    Given a gateway site with the plain workers "a"
    And a gateway worker "a" that limits its rate to 80 a second
    When gateway clients send "GET /safe/x" 10 times, 20 ms apart
    And the gateway worker "a" no longer limits its rate
    And gateway clients send "GET /safe/x" 20 times, 100 ms apart
    And gateway clients send "GET /safe/x" 20 times, 5 ms apart
    Then every gateway response has the status 200

  Scenario: Engines that limit their rate get no more than the share of it
    Given a gateway site with engines
      | id | stage   | events | every |
      | p1 | prefill | 0      | 0     |
      | d1 | decode  | 4      | 10    |
      | d2 | decode  | 4      | 10    |
    And a gateway worker "d1" that limits its rate to 16 a second
    When gateway clients send "POST /stream/x" 60 times, 50 ms apart
    Then every gateway response has the status 200
    And the gateway worker "d1" got at most 9 requests, and "d2" at least 50
