Feature: The gateway leaves a worker alone for the time that it names when it turns a request away

  # Guards against requests that reach a worker while it wants none: at most two from half a second after its answer on.
  Scenario: A worker that names a time gets nothing until then, and the others serve
    Given a gateway site with the plain workers "a, b"
    And a gateway worker "a" that turns requests away with the Retry-After "1.5"
    And a gateway worker "b" that takes 150 ms for a response
    When gateway clients send "GET /safe/x" 100 times, 25 ms apart
    Then every gateway response has the status 200
    And each gateway worker got at most 2 requests in a time in which it wanted none
    And the gateway worker "a" got at most 4 requests, and "b" at least 95

  Scenario: When every worker wants none, clients are refused at once, and told when one takes requests
    Given a gateway site with the plain workers "a, b"
    And a gateway worker "a" that turns requests away with the Retry-After "2"
    And a gateway worker "b" that turns requests away with the Retry-After "3"
    When gateway clients send "GET /safe/x" 40 times, 25 ms apart
    Then each gateway worker got at most 2 requests in a time in which it wanted none
    And the gateway responses from number 4 on are 503 "worker_retry_after" within 60 ms, with a Retry-After that ends 0 to 600 ms after the first hold

  Scenario: Requests that wait return gradually
    Given a gateway site with the plain workers "a"
    And a gateway worker "a" that turns requests away with the Retry-After "0.6"
    When a gateway client sends "POST /unsafe/x"
    And the gateway worker "a" takes requests again
    And gateway clients send "POST /unsafe/x" 150 times, 10 ms apart
    Then the gateway worker "a" got at most 4 requests in the first 150 ms after its hold, and at least 50 in all

  Scenario: The worker's own time is not passed on
    Given a gateway site with the plain workers "a, b"
    And a gateway worker "a" that turns requests away with the Retry-After "7777"
    And a gateway worker "b" that turns requests away with the Retry-After "0.8"
    When gateway clients send "POST /unsafe/x" 10 times, 25 ms apart
    Then no gateway response names a Retry-After over 300 s

  Scenario Outline: A value that is <what> holds nothing back
    Given a gateway site with the plain workers "a"
    And a gateway worker "a" that turns requests away with the Retry-After "<value>"
    When gateway clients send "POST /unsafe/x" 3 times, 25 ms apart
    Then the gateway worker "a" got 3 requests

    Examples:
      | value                         | what         |
      | -3                            | negative     |
      | soon                          | no number    |
      | Wed, 21 Oct 2026 07:28:00 GMT | a date       |
      | 0                             | zero         |
      |                               | empty        |

  Scenario: An absurd time is shortened, with a line in the log
    Given a gateway site with the plain workers "a"
    And a gateway worker "a" that turns requests away with the Retry-After "86400"
    When gateway clients send "POST /unsafe/x" 3 times, 25 ms apart
    Then the gateway worker "a" got 1 requests
    And the gateway log has "worker retry after, shortened" with "retryAfterMs" 300000

  Scenario: An engine that turns reservations away is left alone
    Given a gateway site with the engines "p1" that prefill and "d1, d2" that decode, and a drain time of 2500 ms
    And a gateway worker "d1" that turns requests away with the Retry-After "1.2"
    When gateway clients send "POST /stream/x" 40 times, 40 ms apart
    Then every gateway response has the status 200
    And each gateway worker got at most 2 requests in a time in which it wanted none

  Scenario: An engine that turns prompts away is left alone
    Given a gateway site with the engines "p1, p2" that prefill and "d1, d2" that decode, and a drain time of 2500 ms
    And a gateway worker "p1" that turns requests away with the Retry-After "2.6"
    When gateway clients send "POST /stream/x" 80 times, 40 ms apart
    Then every gateway response has the status 200
    And each gateway worker got at most 2 requests in a time in which it wanted none

  Scenario: When all engines want no requests, clients are refused at once
    Given a gateway site with the engines "p1" that prefill and "d1, d2" that decode, and a drain time of 2500 ms
    And a gateway worker "d1" that turns requests away with the Retry-After "2"
    And a gateway worker "d2" that turns requests away with the Retry-After "3"
    When gateway clients send "POST /stream/x" 20 times, 40 ms apart
    Then each gateway worker got at most 2 requests in a time in which it wanted none
    And the gateway responses from number 4 on are 503 "worker_retry_after" within 60 ms, with a Retry-After that ends 0 to 600 ms after the first hold

  # Guards against a load that goes on to workers in need, where those that are left are slower than a refusal.
  Scenario: Several gateways serve nearly all while half of the workers want no requests in turns
    Given a gateway site with the plain workers "a, b, c, d, e, f"
    And gateway workers that take 150 ms for a response
    When 4 gateways get 50 requests a second each for 8 s, while half of their workers turn requests away in turns of 1500 ms
    Then at least 95 of 100 of the requests at these gateways are served, none takes longer than 600 ms, and no gateway sends more than 2 in a time in which a worker wants none

  Scenario: The choice is counted and logged with its reason
    Given a gateway site with metrics and the plain workers "a, b"
    And a gateway worker "a" that turns requests away with the Retry-After "2"
    When gateway clients send "GET /safe/x" 20 times, 25 ms apart
    Then the gateway metrics contain the line 'briarloom_sends_held_total{service="plain",reason="retry_after"}' within 500 ms
    And the gateway log has "ended" with "held" "a:retry_after"
