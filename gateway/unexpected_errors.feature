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

  # Guards against 500 in the place of an answer that is known, when the deadline and the check behind it come due in one turn.
  Scenario Outline: A request whose deadline passes while the process is held up is answered as <what> ends it
    Given a gateway server on which <what>
    When a client of the gateway server sends a request with a deadline of 400 ms, and the process is held up until <held> ms after its acceptance
    Then the client of the gateway server gets <status> within 1600 ms

    Examples:
      | what                                | held | status |
      | a worker does not answer            | 850  | 504    |
      | a reservation fails after 1100 ms   | 950  | 503    |
