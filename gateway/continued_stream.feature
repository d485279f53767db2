Feature: The head of a stream holds for the bytes of every engine that writes a part of it

  # Guards against a stream that ends as complete inside an event, and whose rest stands before the next answer of the connection.
  Scenario Outline: A stream whose length is stated and that breaks off is shorter than its length, to a client of HTTP/<version>
    Given a continued stream of an engine that states "its length" and breaks off after event 3, and another engine whose events have <bytes> more bytes
    When a client of HTTP/<version> reads the continued stream until its connection ends
    Then the continued stream is shorter than its length, with the events 1 to 3
    And the second engine of the continued stream saw 0 requests

    Examples:
      | version | bytes |
      | 1.1     | 40    |
      | 1.1     | -20   |
      | 1.1     | 0     |
      | 1.0     | 40    |

  # Guards against a stream that its client cannot take up again, because the length of the first run is expected of the second.
  Scenario: A stream whose length was stated goes on when its client takes it up, with the length of the rest
    Given a continued stream of an engine that states "its length" and breaks off after event 3, and another engine whose events have 40 more bytes
    When a client of HTTP/1.1 reads the continued stream until its connection ends
    And the client takes the continued stream up after event 3 and then requests "/safe/x" on the same connection
    Then the continued stream is complete, with the events 4 to 8
    And the head of the continued stream has "content-length, digest, content-digest, etag, accept-ranges"
    And the answer to the request behind the continued stream is whole

  # Guards against a second engine that is sought for a silent stream and cannot go on with it.
  Scenario: A stream whose length is stated goes on by itself after a silence
    Given a continued stream of an engine that states "its length" and does not break off
    And the first engine of the continued stream falls silent before the first event for 1600 ms
    When a client of HTTP/1.1 reads the stream "/resume/x"
    Then the continued stream is complete, with the events 1 to 8
    And the second engine of the continued stream saw 0 requests

  # Guards against digests, tags and ranges of one run over the bytes of two.
  Scenario: A stream that goes on at another engine names nothing that describes the bytes of the first one
    Given a continued stream of an engine that states "its digest" and breaks off after event 3, and another engine whose events have 40 more bytes
    When a client of HTTP/1.1 reads the continued stream and then requests "/safe/x" on the same connection
    Then the continued stream is complete, with the events 1 to 8
    And the head of the continued stream has none of "content-length, digest, content-digest, etag, accept-ranges"
    And the head of the continued stream has "x-server-seal, content-type"
    And the answer to the request behind the continued stream is whole

  Scenario Outline: A stream that does not break off keeps what describes its bytes, <what>
    Given a continued stream of an engine that states "its length" and does not break off
    When a client of HTTP/1.1 reads the stream "<path>"
    Then the head of the continued stream has "content-length, digest, content-digest, etag, accept-ranges"
    And the continued stream is complete, with the events 1 to 8

    Examples:
      | what                                | path      |
      | though it may go on at another one  | /resume/x |
      | when it may not be resumed          | /stream/x |

  # Guards against the events of one engine in the answer of another that has refused.
  Scenario: An answer that is no stream and breaks off is not continued with the events of another engine
    Given a continued stream of an engine that refuses with a body that breaks off, and another engine
    When a client of HTTP/1.1 reads the continued stream until its connection ends
    Then the continued stream has the status 404 and no event
    And the second engine of the continued stream saw 0 requests
