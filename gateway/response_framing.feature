Feature: The framing of a response shows whether it is complete, whatever ends the process of the gateway

  # Guards against a success that holds the beginning of one worker's body and the whole of another's.
  Scenario Outline: A long response that breaks off is not continued with that of another worker when the first one is <mode>
    Given a gateway site with the plain workers "w1, w2"
    And gateway workers that are "<mode>" to their first request
    When a gateway client sends "GET /safe/x" and its response breaks off
    Then the gateway client has got at most 600000 bytes, all of one worker
    And the gateway workers saw 1 requests

    Examples:
      | mode                 |
      | short_large          |
      | cut_chunks_large     |
      | unframed_large_reset |

  # Guards against a response that ends with its connection: the end of a killed process completes it.
  Scenario: A long response without a length goes on in chunks
    Given a gateway site with the plain workers "w1"
    And gateway workers that are "unframed_large"
    When a gateway client of HTTP/1.1 reads the response to "POST /unsafe/x"
    Then the raw gateway response has "transfer-encoding: chunked", ends with the last chunk, and keeps its connection

  # Such a client cannot read chunks, so only a reset can tell it that the response was broken off.
  Scenario: A long response without a length ends with the connection of a client of HTTP/1.0
    Given a gateway site with the plain workers "w1"
    And gateway workers that are "unframed_large"
    When a gateway client of HTTP/1.0 reads the response to "POST /unsafe/x"
    Then the raw gateway response has no framing and 20000000 bytes

  Scenario: A response without a length says its length to a client of HTTP/1.0 when it has been read whole
    Given a gateway site with the plain workers "w1"
    And gateway workers that are "unframed"
    When a gateway client of HTTP/1.0 reads the response to "POST /unsafe/x"
    Then the raw gateway response has "content-length: 6" and 6 bytes

  # Guards against a broken response that looks complete: chunks end for such a client where its connection does.
  Scenario: A long response in chunks that breaks off is reset to a client of HTTP/1.0
    Given a gateway site with the plain workers "w1"
    And gateway workers that are "cut_chunks_large"
    When a gateway client of HTTP/1.0 reads the response to "POST /unsafe/x" until its connection ends
    Then the raw gateway response has ended with a reset

  # Without it, an answer that its worker finished cannot be told from one that only the end of a connection completed.
  Scenario Outline: The log says that the end of a response showed by <framing>
    Given a gateway site with the plain workers "w1"
    And gateway workers that are "<mode>"
    When a gateway client sends "POST /unsafe/x"
    Then the gateway logged '"bytes":<bytes>,"framing":"<framing>"'

    Examples:
      | mode       | bytes | framing    |
      | good       | 6     | length     |
      | unframed   | 6     | connection |
      | cut_chunks | 3     | chunks     |
