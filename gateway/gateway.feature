Feature: The gateway forwards requests of clients to workers

  Background:
    Given a gateway site with the plain workers "w1, w2"

  Scenario: The gateway forwards method, path, query, body and headers, and sets its own
    When a gateway client sends "POST /unsafe/x?q=%20a" with the body "hello" and the headers
      | X-Request-Id          | r-1          |
      | X-Model               | m            |
      | X-Prompt-Prefix       | 5c:10        |
      | X-Request-Deadline-Ms | 5000         |
      | X-Expect-Instance     | forged       |
      | X-Kv-Hold             | forged       |
      | X-Pin-Ms              | 10           |
      | X-Stage               | prefill      |
      | Connection            | X-Hop, close |
      | X-Hop                 | 1            |
    Then the gateway client gets 200 with the body "signed" and a seal
    And the gateway worker saw "POST /unsafe/x?q=%20a" with the body "hello"
    And the gateway worker saw the header "x-model" with "m"
    And the gateway worker saw the header "x-prompt-prefix" with "5c:10"
    And the gateway worker saw the header "x-request-id" with "r-1"
    And the gateway worker saw its own identity and at most 700 ms
    And the gateway worker saw none of the headers "x-kv-hold, x-pin-ms, x-stage, x-hop"

  Scenario: The gateway reads a body that comes in chunks
    When a gateway client sends "POST /unsafe/x" in the chunks "he, llo"
    Then the gateway client gets 200 with the body "signed" and a seal
    And the gateway worker saw "POST /unsafe/x" with the body "hello"

  Scenario Outline: A request that runs at most once ends in <status> when its worker is <mode>
    Given gateway workers that are "<mode>"
    When a gateway client sends "POST /unsafe/x"
    Then the gateway client gets <status>
    And the gateway response has a Retry-After header: <retry>
    And the gateway workers saw <runs> requests

    Examples:
      | mode           | status | retry | runs |
      | full           | 503    | yes   | 1    |
      | error          | 500    | no    | 1    |
      | reset          | 502    | no    | 1    |
      | hang           | 504    | no    | 1    |
      | short          | 502    | no    | 1    |
      | cut_chunks     | 502    | no    | 1    |
      | unframed_reset | 502    | no    | 1    |
      | unframed_reset_at_once | 502    | no    | 1    |
      | encoded        | 502    | no    | 1    |
      | extra          | 502    | no    | 1    |
      | cut_head       | 502    | no    | 1    |
      | cut_head_reset | 502    | no    | 1    |
      | cut_status     | 502    | no    | 1    |
      | no_status      | 502    | no    | 1    |
      | cut_head_after_hint | 502    | no    | 1    |

  Scenario Outline: An idempotent request is sent once more when its worker is <mode>
    Given gateway workers that are "<mode>" to their first request
    When a gateway client sends "GET /safe/x"
    Then the gateway client gets 200
    And the gateway workers saw 2 requests

    Examples:
      | mode           |
      | error          |
      | reset          |
      | short          |
      | cut_chunks     |
      | unframed_reset |
      | unframed_reset_at_once |
      | encoded        |
      | extra          |
      | cut_head       |
      | cut_head_reset |
      | cut_status     |

  Scenario: An idempotent request goes to no more workers than its route allows
    Given gateway workers that are "error"
    When a gateway client sends "GET /safe/x"
    Then the gateway client gets 500
    And the gateway workers saw 2 requests

  # The end of the gateway's process must not complete what the worker has not; see gateway/response_framing.feature.
  Scenario: An answer without a length that has been read whole says its length
    Given gateway workers that are "unframed"
    When a gateway client sends "POST /unsafe/x"
    Then the gateway client gets 200 with the body "signed" and a seal
    And the gateway response has the length 6 and no other framing

  Scenario: A worker that cannot be reached is no attempt
    Given a gateway worker "w1" that has closed but keeps its entry
    When a gateway client sends "POST /unsafe/x" 5 times
    Then the gateway client gets 200 each time

  Scenario: The gateway lets a worker go when the client leaves
    Given gateway workers that are "hang"
    When a gateway client sends "GET /safe/x" and disconnects after 100 ms
    Then the request at the gateway worker is aborted within 400 ms
    And the gateway workers saw 1 requests

  Scenario Outline: The gateway refuses <what> with <status>
    When a gateway client writes <what>
    Then the gateway client gets <status>
    And the gateway workers saw 0 requests

    Examples:
      | what              | status |
      | an unknown path   | 404    |
      | no request id     | 400    |
      | a large body      | 413    |
      | large chunks      | 413    |
      | a large header    | 431    |
      | a slow header     | 408    |
      | two lengths       | 400    |
      | length and chunks | 400    |
      | no protocol       | 400    |

  # Guards against a refusal by old rules that no log line tells from one by the rules in force.
  Scenario: A refusal for lack of a route tells the version and the age of the rules
    When a gateway client writes an unknown path
    Then the gateway client gets 404
    And the gateway logged '"reason":"no_route","version":1,"revision":'
    And the gateway logged '"readAgeMs":'
    And the gateway logged '"isCovered":false'

  Scenario: A smuggled request is not run
    When a gateway client writes a body that looks like a request
    Then the gateway client gets 200
    And the gateway workers saw 1 requests

  Scenario: A new version of the rules comes into force and an older one does not
    When the gateway operator removes the route "safe" in version 5
    Then the gateway answers "GET /safe/x" with 404 within 500 ms
    When the gateway operator writes version 4 with every route
    And 300 ms pass at the gateway
    Then the gateway answers "GET /safe/x" with 404 within 100 ms

  Scenario Outline: The last view stays in force while the store is <mode>
    When the gateway store is "<mode>"
    And 300 ms pass at the gateway
    Then the gateway answers "GET /safe/x" with 200 within 100 ms
    When the gateway store is "up"
    And the gateway operator removes the route "safe" in version 9
    Then the gateway answers "GET /safe/x" with 404 within 2400 ms

    Examples:
      | mode   |
      | busy   |
      | many   |
      | silent |
      | reset  |

  Scenario: The gateway reads anew when the history of the store is gone
    When the gateway operator removes the route "safe" in version 7 while the store forgets its history
    Then the gateway answers "GET /safe/x" with 404 within 1500 ms

  Scenario Outline: The gateway uses no worker whose entry is <what>
    When the gateway entry of "w1" is <what>
    And 200 ms pass at the gateway
    And a gateway client sends "POST /unsafe/x" 6 times
    Then the gateway worker "w1" saw 0 requests

    Examples:
      | what               |
      | draining           |
      | no JSON            |
      | of a strange state |
      | without an address |
      | without a version  |
      | born in text       |

  # Guards against one odd entry that ends the processes which read the list, or after which they follow it no longer.
  Scenario Outline: The gateway serves and follows the store beside an entry <what>
    When the gateway entry of "w1" is <what>
    And a gateway worker "w3" joins
    And the gateway entry of "w2" expires
    Then the gateway worker "w3" answers all requests from 300 ms on
    When another gateway starts
    Then the other gateway is ready within 2000 ms
    And the other gateway answers "GET /safe/x" with 200
    And the gateway logged "<log>"

    Examples:
      | what                               | log                   |
      | very deeply nested                 | entry cannot be read  |
      | deeply nested in its state         | entry cannot be read  |
      | of a state that every object has   | entry cannot be read  |
      | with a port out of range           | entry cannot be read  |
      | with a number out of range         | entry cannot be read  |
      | with a revision out of range       | store items left out  |
      | without a key                      | store items left out  |

  Scenario: Entries that lapsed while the store was down are kept until they can be back
    When the gateway store is "silent"
    And the gateway entry of "w1" expires
    And the gateway entry of "w2" expires
    And the gateway store is "up"
    And 600 ms pass at the gateway
    Then the gateway answers "GET /safe/x" with 200 within 100 ms

  Scenario: The gateway is ready once it has rules and workers, and finishes what is in flight
    Then the gateway is ready
    Given gateway workers that are "hang"
    When a gateway client sends "GET /safe/x" without waiting
    And the gateway is stopped
    Then the gateway is not ready
    And the gateway client gets 504

  Scenario: A gateway that is stopping refuses in time what it cannot finish
    When the gateway is stopped
    And 4000 ms pass at the gateway
    And a gateway client sends "POST /unsafe/x"
    Then the gateway client gets 503
    And the gateway response has a Retry-After header: yes
    And the gateway workers saw 0 requests

  Scenario: A gateway that knows no rules refuses, and the request has not run
    When a gateway starts whose store answers after 3000 ms
    Then the other gateway answers "GET /safe/x" with 503

  Scenario: A request that comes before the first rules waits for them
    When a gateway starts whose store answers after 150 ms
    Then the other gateway answers "GET /safe/x" with 200

  Scenario: A gateway that starts while the store is down learns from another one
    When the gateway store is "silent"
    And another gateway starts
    Then the other gateway is ready within 2000 ms
    And the other gateway answers "GET /safe/x" with 200

  Scenario: The bound on repeated sends is divided among the gateways that the processes beside the engines count
    Given a gateway site with metrics and an engine whose sidecar serves 24 gateways
    Then the gateway metrics contain the line "briarloom_gateways 24" within 2500 ms
    And the gateway metrics contain the line 'briarloom_store_reads_total{result="answered"} ' within 1500 ms
    When the sidecar of the gateway engine stops
    Then the gateway metrics contain the line "briarloom_sidecars 0" within 1000 ms
    And the gateway metrics contain the line "briarloom_gateways 24" within 100 ms

  Scenario: A gateway whose address is taken says so, and leaves nothing behind
    Then another gateway with the same addresses does not start, and names the address

  Scenario: A worker that sends a head without end is left, and an idempotent request is answered by another one
    Given gateway workers that are "endless_head" to their first request
    When a gateway client sends "GET /safe/x"
    Then the gateway client gets 200 with the body "signed" and a seal

  Scenario: A body without end reaches the client only until the deadline, and in the client's own pace
    Given gateway workers that are "endless_body"
    Then a request for "GET /safe/x" is cut at the gateway client within 1200 ms
    And the request at the gateway worker is aborted within 500 ms

  # Guards against an earlier refusal that a worker writes once more: it says nothing about the request that is sent next on the connection.
  Scenario: A refusal that names no request is not believed on a connection in use again
    Given a gateway worker "w2" that has closed but keeps its entry
    And gateway workers that are "good" at first and "full_without_id" afterwards
    When a gateway client sends "POST /unsafe/x" 2 times
    Then the gateway client gets 200, then 502

  # Guards against one unexpected error that takes down a gateway with all its requests.
  Scenario: An unexpected error ends its own request, and no other one
    Given a gateway site with the plain workers "w1, w2" whose random source fails once
    When a gateway client sends "GET /safe/x" 3 times
    Then the gateway client gets 500, then 200 each time

  # Guards against a head that stops in the middle and reaches the client as an empty or short success.
  Scenario Outline: A later response of a connection that is <mode> reaches no client as a success
    Given a gateway worker "w2" that has closed but keeps its entry
    And gateway workers that are "good" at first and "<mode>" afterwards
    When a gateway client sends "POST /unsafe/x" 2 times
    Then the gateway client gets 200, then 502

    Examples:
      | mode           |
      | cut_head       |
      | cut_head_reset |
      | cut_status     |
      | no_status      |
      | cut_head_after_hint |

  # Guards against a second copy of a response that the next request on the connection gets for its own.
  Scenario Outline: A copy of a response that comes <when> is no response to the next request
    Given a gateway worker "w2" that has closed but keeps its entry
    And gateway workers that are "<mode>"
    When a gateway client sends "<line>" 4 times
    Then the gateway client gets each time a response to its own request, or <failure>

    Examples:
      | when                       | mode          | line           | failure |
      | with the response          | repeated      | POST /unsafe/x | 502     |
      | with the response          | repeated      | GET /safe/x    | 502     |
      | in front of the next one   | repeated_late | POST /unsafe/x | 502     |
      | in front of the next one   | repeated_late | GET /safe/x    | 502     |

  # Guards against a worker that left, or a route that was withdrawn, which a restarted process learns from a peer with an older view.
  Scenario: A gateway that learned an older view from another one follows the store as soon as it reads it
    When another gateway starts whose own store is "silent" and has neither the worker "w1" nor the route "safe" any more
    Then the other gateway is ready within 2000 ms
    And the other gateway answers "GET /safe/x" with 200
    When the store of the other gateway is "up"
    Then the other gateway answers "GET /safe/x" with 404 within 3000 ms and sends nothing to the worker "w1" any more
    When 800 ms pass at the gateway
    Then the other gateway answers "GET /safe/x" with 404 within 50 ms and sends nothing to the worker "w1" any more
