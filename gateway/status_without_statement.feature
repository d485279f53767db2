Feature: The gateway promises that a request has not run only when its worker has stated so

  # Guards against a promise in a worker's words: a request that has run, and whose client is told to send it again.
  Rule: plain services

    Background:
      Given a gateway site with the plain workers "w1, w2"

    Scenario Outline: A request that runs at most once ends in 502 when its worker is <mode>
      Given gateway workers that are "<mode>"
      When a gateway client sends "POST /unsafe/x"
      Then the gateway client gets 502 without a word of the worker
      And the gateway workers saw 1 requests

      Examples:
        | mode            |
        | ran_503         |
        | ran_429         |
        | ran_408         |
        | ran_503_endless |

    Scenario Outline: An idempotent request is sent once more when its worker is <mode>
      Given gateway workers that are "<mode>" to their first request
      When a gateway client sends "GET /safe/x"
      Then the gateway client gets 200 with the body "signed" and a seal
      And the gateway workers saw 2 requests

      Examples:
        | mode            |
        | ran_503         |
        | ran_429         |
        | ran_408         |
        | ran_503_endless |

    Scenario: An idempotent request ends in 502 when its last worker refuses it and an earlier one may have run it
      Given a gateway worker "w1" that is "ran_503"
      And a gateway worker "w2" that is "ran_429"
      When a gateway client sends "GET /safe/x"
      Then the gateway client gets 502 without a word of the worker
      And the gateway workers saw 2 requests

    Scenario: A refusal that a worker states is passed on as one
      Given gateway workers that are "full"
      When a gateway client sends "POST /unsafe/x"
      Then the gateway client gets 503
      And the gateway response has a Retry-After header: yes

  Rule: engines

    Background:
      Given a gateway site with engines
        | id | stage   | events | every |
        | p1 | prefill | 0      | 0     |
        | d1 | decode  | 4      | 10    |
        | d2 | decode  | 4      | 10    |

    Scenario Outline: A stream that may not resume ends in 502 when its engine is <mode>
      Given the gateway decode engines are "<mode>" to the first request
      When a gateway client requests a generation on "/stream/x"
      Then the gateway client gets 502 without a word of the worker

      Examples:
        | mode            |
        | ran_503         |
        | ran_429         |
        | ran_408         |
        | ran_503_endless |

    Scenario Outline: A stream that may resume does so when its engine is <mode>
      Given the gateway decode engines are "<mode>" to the first request
      When a gateway client requests a generation on "/resume/x"
      Then the gateway client gets the events 1 to 4, each once

      Examples:
        | mode    |
        | ran_503 |
        | ran_429 |
        | ran_408 |

    Scenario: A prompt that an engine answers so is read by the engine that generates
      Given a gateway worker "p1" that is "ran_503"
      When a gateway client requests a generation on "/stream/x"
      Then the gateway client gets the events 1 to 4, each once
