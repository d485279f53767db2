@http
Feature: HTTP input of callers with hostile content
  Scenario: An entry refuses every hostile HTTP body as not run and holds nothing afterwards
    Given an HTTP entry with the records of the example "fleuve" and no backend servers
    When HTTP callers send 400 hostile bodies with seed 31
    Then every HTTP response was a refusal with a code and the outcome "not_run"
    And the HTTP entry is alive and has 0 requests in flight

  Scenario: An entry outlives hostile HTTP heads
    Given an HTTP entry with the records of the example "fleuve" and no backend servers
    When HTTP sockets send 200 hostile heads with seed 32
    Then the HTTP entry is alive and has 0 requests in flight

  Scenario Outline: An entry bounds the sizes of an HTTP request
    Given an HTTP entry with the records of the example "fleuve" and no backend servers
    When an HTTP caller sends <header> header bytes and <body> body bytes
    Then the HTTP response has the status <status>

    Examples:
      | header | body   | status |
      | 20000  | 2      | 431    |
      | 10     | 200000 | 413    |
