Feature: The framing of a response shows whether it is complete, whatever ends the process of the gateway

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
