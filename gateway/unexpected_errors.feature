Feature: A request of the gateway that meets an unexpected error still gets a response

  Scenario Outline: A request is answered although <what>
    Given a gateway server on which <what>
    When a client of the gateway server sends a request with a deadline of 400 ms
    Then the client of the gateway server gets 500 within <ms> ms
    And the gateway server logged "handler failed"

    Examples:
      | what                                            | ms   |
      | the accounting of requests throws               | 700  |
      | a reservation is never answered                 | 1200 |
      | the head of the worker's response is not usable | 700  |
