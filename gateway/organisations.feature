Feature: The gateway serves callers by the keys of their organisations

  Background:
    Given a gateway site whose callers carry the keys of "north: n-key-1 n-key-2, south: s-key-1", with workers and engines

  # Guards against a worker that learns a key, or that takes the word of a client for its organisation.
  Scenario Outline: The worker is told the organisation and never the key, <way>
    Given the workers of the organisations <fault>
    When a caller with the key "n-key-1" who names itself "south" sends "<line>"
    Then the caller gets <status>
    And the workers of the organisations saw <seen> requests, all of "north" and none with a key

    Examples:
      | way                                              | line           | status | seen | fault                          |
      | in a request that runs once                      | POST /unsafe/x | 200    | 1    | are sound                      |
      | in a repeat                                      | GET /safe/x    | 200    | 2    | fail their first request       |
      | in a prefill and the stream that follows         | POST /stream/x | 200    | 2    | are sound                      |
      | in a stream that goes on elsewhere               | POST /resume/x | 200    | 4    | lose the stream after an event |
      | on a route that serves requests without keys too | GET /open/x    | 200    | 1    | are sound                      |

  Scenario Outline: A caller who names an organisation <how> stays the one whose key it has
    When a caller sends "POST /unsafe/x" with the raw lines "<lines>"
    Then the workers of the organisations saw 1 requests, all of "north" and none with a key

    Examples:
      | how                         | lines                                                                                        |
      | in another spelling         | Authorization: Token n-key-1; x-TENANT: south; X_Tenant: south                                |
      | twice                       | X-Tenant: south; Authorization: Token n-key-1; X-Tenant: west                                 |
      | as a header of a connection | Connection: X-Tenant, close; X-Tenant: south; Authorization: Token n-key-1                    |
      | in a trailer                | Authorization: Token n-key-1; Transfer-Encoding: chunked; Trailer: X-Tenant, Authorization    |

  Scenario Outline: A request with <what> on <path> gets <status>, and no worker sees it
    When a caller sends "POST <path>" with the raw lines "<lines>"
    Then the raw caller gets <status> with the reason "<reason>"
    And the workers of the organisations saw 0 requests

    Examples:
      | what                      | path      | lines                                                       | status | reason        |
      | no key                    | /unsafe/x | A: 1                                                        | 401    | missing_key   |
      | a key that nobody holds   | /unsafe/x | Authorization: Token x-key                                  | 401    | unknown_key   |
      | a key that nobody holds   | /open/x   | Authorization: Token x-key                                  | 401    | unknown_key   |
      | the name for a key        | /unsafe/x | Authorization: Token north                                  | 401    | unknown_key   |
      | two keys                  | /unsafe/x | Authorization: Token n-key-1; Authorization: Token n-key-1  | 401    | malformed_key |
      | another scheme            | /unsafe/x | Authorization: Bearer n-key-1                               | 401    | malformed_key |
      | another scheme            | /open/x   | Authorization: Basic eA==                                   | 401    | malformed_key |
      | a key that nobody holds   | /stream/x | Authorization: Token x-key; X-Token-Counts: 100,40          | 401    | unknown_key   |
      | no key                    | /other/x  | A: 1                                                        | 404    | no_route      |
      | no key and a body to come | /unsafe/x | Content-Length: 900                                         | 401    | missing_key   |

  Scenario: A request without a key is served where its route allows it, and its worker is told no organisation
    When a caller sends "GET /open/x" with the raw lines "X-Tenant: south"
    Then the workers of the organisations saw 1 requests, all of "nobody" and none with a key

  Scenario: No key is wrong before the rules are known
    Given a gateway site whose callers carry keys that nobody has told it yet
    When a caller with the key "n-key-1" who names itself "south" sends "GET /safe/x"
    Then the caller gets 503

  Scenario: A key that is withdrawn ends on a kept connection, and a new one begins
    When a caller sends "GET /safe/x" with the key "n-key-1" on a kept connection, and again with the key "n-key-3" after version 2 has the keys "north: n-key-2 n-key-3"
    Then the kept connection gets 200, then 200
    When a caller sends "GET /safe/x" with the key "n-key-2" on a kept connection, and again with the key "n-key-2" after version 3 has the keys "north: n-key-3"
    Then the kept connection gets 200, then 401

  Scenario: A key that is withdrawn while the body comes is refused
    When a caller with the key "n-key-1" sends a body of which the rest comes after version 2 has the keys "north: n-key-2"
    Then the raw caller gets 401 with the reason "withdrawn_key"
    And the workers of the organisations saw 0 requests

  Scenario: A key that is withdrawn while a generation waits for memory is refused
    Given the workers of the organisations have no memory
    When a caller with the key "n-key-1" requests a generation, and version 2 has the keys "north: n-key-2" meanwhile
    Then the caller gets 401
    And the workers of the organisations saw 0 requests

  Scenario: A stream whose key is withdrawn does not go on elsewhere
    Given the workers of the organisations lose a slow stream after an event
    When a caller with the key "n-key-1" requests a generation, and version 2 has the keys "north: n-key-2" meanwhile
    Then the caller gets a stream that is cut
    And no engine of the organisations was asked to resume

  # Guards against rules of which a part is in force, and against keys in the log of what was refused.
  Scenario: Rules with malformed organisations have no effect, and the last good ones stay
    Given version 2 of the organisations is malformed
    When a caller with the key "n-key-1" who names itself "south" sends "GET /safe/x"
    Then the caller gets 200
    And the log of the organisations says "configuration refused" and names the field

  Scenario: A lower version of the rules brings no key back
    Given version 3 of the organisations has the keys "north: n-key-2"
    And version 2 of the organisations, which comes later, has the keys "north: n-key-1"
    When a caller with the key "n-key-1" who names itself "south" sends "GET /safe/x"
    Then the caller gets 401

  Scenario: The priority of an organisation goes before that of its route
    When a caller with the key "n-key-1" who names itself "south" sends "GET /safe/x"
    And a caller with the key "s-key-1" who names itself "north" sends "GET /safe/x"
    Then the log of the organisations has the requests of "north: 0, south: 1" with these priorities

  Scenario: The log and the metrics tell why a caller was refused
    When a caller with the key "x-key" who names itself "south" sends "GET /safe/x"
    Then the caller gets 401
    And the log of the organisations has the label of "x-key", the version and the reason "unknown_key"
    And the metrics of the organisations count 1 refusal with the reason "unknown_key"

  Scenario: Where a withdrawn key must not be served anywhere, none is served once the store has been silent too long
    Given a gateway site where no machine may serve a key 2500 ms after its withdrawal
    When the store of the organisations is silent for 4500 ms
    Then a caller with the key "n-key-1" gets 503, and one without a key gets 200 where its route allows it
    And a caller with the key "n-key-1" gets 200 within 3000 ms after the store is back

  Scenario: Where a withdrawn key binds only machines in touch, keys are served while the store is silent
    When the store of the organisations is silent for 4500 ms
    Then a caller with the key "n-key-1" gets 200, and one without a key gets 200 where its route allows it

  Scenario: Where the deployment knows no organisations, what a caller says of itself is passed on
    Given a gateway site whose deployment knows no organisations, with rules that name some
    When a caller with the key "x-key" who names itself "south" sends "GET /safe/x"
    Then the caller gets 200
    And the workers of the organisations saw the key "x-key" and the name "south"
