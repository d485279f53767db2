Feature: The gateway takes a worker at its word that it leaves

  # Guards against requests that reach a worker later than the drain time after it has said in an answer that it leaves.
  Scenario: A worker that says that it leaves gets nothing more while another one is there, though the store calls it ready
    Given a gateway site with the plain workers "a, b" and a drain time of 300 ms
    And a gateway worker "b" that takes 100 ms for a response
    When the gateway worker "a" says that it leaves
    And gateway clients send "GET /safe/x" 40 times, 25 ms apart
    Then every gateway response has the status 200
    And the gateway worker "a" got at most 1 requests after its word, and none later than 300 ms

  Scenario: A worker without another one beside it is used for the drain time, and not later
    Given a gateway site with the plain workers "a" and a drain time of 400 ms
    When the gateway worker "a" says that it leaves
    And gateway clients send "POST /unsafe/x" 40 times, 25 ms apart
    Then the gateway worker "a" got at least 5 requests after its word, and none later than 400 ms
    And the other gateway responses are 503 "no_worker" with a Retry-After header, each within 100 ms

  Scenario: A refusal counts as much as an answer
    Given a gateway site with the plain workers "a, b" and a drain time of 200 ms
    And a gateway worker "a" that is "full"
    And a gateway worker "b" that takes 100 ms for a response
    When the gateway worker "a" says that it leaves
    And gateway clients send "GET /safe/x" 30 times, 25 ms apart
    Then every gateway response has the status 200
    And the gateway worker "a" got at most 1 requests after its word, and none later than 200 ms

  Scenario: The word holds while the store is away and after it has come back from an old copy
    Given a gateway site with the plain workers "a, b" and a drain time of 200 ms
    And a gateway worker "b" that takes 100 ms for a response
    When the gateway worker "a" says that it leaves
    And gateway clients send "GET /safe/x" 12 times, 25 ms apart
    And the gateway store is "silent"
    And 100 ms pass at the gateway
    And the gateway store is "up"
    And the gateway store loses the entry of "a", and gets an older one back first
    And gateway clients send "GET /safe/x" 30 times, 25 ms apart
    Then every gateway response has the status 200
    And the gateway worker "a" got at most 1 requests after its word, and none later than 200 ms

  Scenario: Another incarnation of the worker is used again
    Given a gateway site with the plain workers "a, b" and a drain time of 200 ms
    When the gateway worker "a" says that it leaves
    And gateway clients send "GET /safe/x" 20 times, 25 ms apart
    And the gateway worker "a" starts again
    And gateway clients send "GET /safe/x" 20 times, 25 ms apart
    Then the gateway worker "a" got at least 3 requests since its start

  Scenario Outline: An engine that says so in <answer> gets no further prompt, stream or reservation
    Given a gateway site with the engines "p1, p2" that prefill and "d1, d2" that decode, and a drain time of 200 ms
    When the gateway worker "<worker>" says that it leaves
    And gateway clients send "POST /stream/x" 30 times, 30 ms apart
    Then every gateway response has the status 200
    And the gateway worker "<worker>" got at most <most> requests after its word, and none later than 200 ms

    Examples:
      | worker | most | answer                        |
      | p1     | 1    | the answer to a prefill       |
      | d1     | 2    | the answer to a reservation   |

  Scenario: A stream that runs goes on
    Given a gateway site with the engines "p1" that prefill and "d1, d2" that decode, and a drain time of 50 ms
    When the gateway worker "d1" says that it leaves
    And the gateway worker "d2" says that it leaves
    And gateway clients send "POST /stream/long" 1 times, 1 ms apart
    Then every gateway response has the status 200

  Scenario: What another gateway has seen comes over the sidecars
    Given a gateway site with the engines "p1" that prefill and "d1, d2" that decode, and a drain time of 200 ms
    When the sidecars of the gateway engines tell that "d1" leaves
    And gateway clients send "POST /stream/x" 10 times, 30 ms apart
    Then every gateway response has the status 200
    And the gateway worker "d1" got no request

  Scenario: A gateway tells the sidecars that a worker leaves
    Given a gateway site with the engines "p1" that prefill and "d1, d2" that decode, and a drain time of 200 ms
    And sidecars of the gateway engines that listen
    When the gateway worker "p1" says that it leaves
    And gateway clients send "POST /stream/x" 2 times, 30 ms apart
    Then the sidecars of the gateway engines are told that "p1" leaves
