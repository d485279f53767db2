Feature: The engine and service adapters over the stand-ins

  Scenario: An engine answers each prompt with exactly its own answer
    Given engine stand-ins for prefill and decode
    When engine adapters run 12 different prompts at once
    Then engine answers are exact and every piece is free

  Scenario: An engine stream resumes without a gap after its reader broke
    Given engine stand-ins for prefill and decode
    When the reader of an engine stream closes after 5 tokens and another resumes there
    Then the engine tokens of both readers make up the exact answer
    And every engine piece is free within 500 ms

  Scenario: An engine stream with crossed events comes out in order
    Given engine stand-ins for prefill and decode
    When an engine stream runs while its events arrive out of order
    Then engine answers are exact and every piece is free

  Scenario Outline: An engine cancel frees what the attempt held while <phase>
    Given engine stand-ins for prefill and decode
    When an engine attempt is cancelled while <phase>
    Then every engine piece is free within 300 ms

    Examples:
      | phase        |
      | prefilling   |
      | transferring |
      | decoding     |

  Scenario: An engine keeps an abandoned stream until it is cancelled
    Given engine stand-ins for prefill and decode
    When the reader of an engine stream closes after 5 tokens and none resumes it for 1500 ms
    Then the engine holds the pieces until a cancel, which answers their number

  Scenario: An engine drops a prefill result that nobody fetches
    Given engine stand-ins for prefill and decode
    When the result of an engine prefill is not fetched for 1000 ms
    Then an engine decode of that result fails with "prefill_expired"
    And every engine piece is free within 300 ms

  Scenario Outline: An engine that <manner> fencing numbers gets an old order
    Given an engine stand-in that <manner> fencing numbers
    When the engine gets orders with fencing numbers 7 and 6
    Then the engine answers the old order with "<result>"

    Examples:
      | manner  | result   |
      | honours | fenced   |
      | ignores | accepted |

  Scenario Outline: The service adapter tells truthfully whether a call <case> was sent
    Given a service stand-in
    When the service is called once <case>
    Then the service call ends as "<kind>" with sent <sent> and the service ran it <runs> times

    Examples:
      | case                          | kind        | sent  | runs |
      | in peace                      | ok          | true  | 1    |
      | with its port closed          | unreachable | false | 0    |
      | with the cut after the run    | broken      | true  | 1    |
      | while frozen for 400 ms       | timed_out   | true  | 1    |

  # Guards against an odd answer of one engine that throws in its agent, or that its agent passes on in a message which entries refuse.
  Scenario: Each answer of an engine with any field odd is decoded or an error, and nothing throws
    Then each engine call and stream whose answer has any field odd ends as a value of the right form

  # Guards against a long event in small pieces, of which each one made the reader go through all that came before.
  Scenario: The work for an incomplete event of an engine grows with its length only
    Then an event of 1000000 characters in pieces of 16 bytes is read within 1500 ms, wherever the pieces part

  # Guards against a backend server whose answer has no end, and which takes the memory of the process that called it.
  Scenario Outline: A call of <what> ends when its answer has no end
    Given a backend server that answers <status> with a body without end
    Then <what> called there ends as broken, sent, before the server has sent 40 MB

    Examples:
      | what               | status |
      | a service          | 200    |
      | an engine's state  | 200    |
      | an engine's decode | 503    |

  # Guards against a part of a service's answer that its caller takes for the whole, because the end of the connection was taken for its end.
  Scenario Outline: An answer of a service without a length that <ends> ends as <result>
    Then a service call whose answer has the type "<type>", the body "<body>" and <ends> ends as "<result>"

    Examples:
      | type                            | body                | ends                | result   |
      | text/plain                      | a letter            | is closed in order  | answered |
      | text/plain                      | a let               | is reset at once    | broken   |
      | text/plain                      | a let               | is reset after 20 ms | broken  |
      | text/event-stream               | data: a\n\n         | is closed in order  | answered |
      | text/event-stream               | data: a\r\n\r\n     | is closed in order  | answered |
      | text/event-stream               | data: a\n\ndata: b  | is closed in order  | broken   |
      | Text/Event-Stream;charset=utf-8 | data: a\n\ndata: b  | is closed in order  | broken   |
      | text/event-stream               |                     | is closed in order  | broken   |
