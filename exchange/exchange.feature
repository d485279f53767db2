Feature: Exchanges end with a whole response or with a failure

  # Guards against a head that stops in the middle and reaches the client as an empty or short success.
  Scenario Outline: A response <framing> that stops anywhere before its end fails, <place>, and the connection is <closed>
    Then the exchange fails for each part of a response "<framing>" as the <place> of its connection, which is "<closed>"

    Examples:
      | framing           | place  | closed |
      | with a length     | first  | ended  |
      | with a length     | first  | reset  |
      | with a length     | second | ended  |
      | with a length     | second | reset  |
      | in chunks         | first  | ended  |
      | in chunks         | second | reset  |
      | until the end     | first  | ended  |
      | until the end     | second | ended  |
      | until the end     | second | reset  |
      | after a hint      | first  | ended  |
      | after a hint      | second | reset  |
      | without status    | first  | ended  |

  # Guards against a reset that arrives while the receiver is slow and takes down the process.
  Scenario Outline: An exchange that is paused survives the end of its connection by <what>
    Then the exchange that is paused in a response until the end does not throw when the connection ends by "<what>"

    Examples:
      | what   |
      | reset  |
      | abort  |
      | finish |

  # Guards against bytes that the parser reads without a bound and without an effect until the deadline.
  Scenario Outline: An exchange fails when its server sends <what> without end
    Then the exchange fails within 700 ms when its server sends "<what>" without end

    Examples:
      | what                       |
      | interim responses          |
      | header fields              |
      | trailer fields             |
      | the text of a status line  |
      | the extension of a chunk   |
      | the size of a chunk        |
      | empty lines                |

  Scenario: An exchange whose server sends a long body in small chunks ends, however slowly it is read
    Then the exchange with a response of 3000000 bytes in chunks of 3 bytes ends with all of them, with pauses

  # Guards against a second response to the earlier send of a request, which nothing tells from the response to the later one.
  Scenario: A request that is sent again takes no connection that has carried it, and leaves it to other requests
    Then the exchange of a request that is sent 3 times takes 3 connections, and that of another one takes none of its own

  # Guards against the answer of one worker to a short call that takes tens of megabytes of memory.
  Scenario: A call fails when the body of its response has no end
    Then a call whose response has no end fails before its server has sent 20 MB

  # Guards against an odd entry or response whose text makes each call throw, at once or later in a timer.
  Scenario Outline: A call to the address <address> with the header value <value> fails as a value
    Then the exchange with "<address>" and the header value "<value>" fails as "<kind>", and a call does so as a value

    Examples:
      | address         | value  | kind        |
      | 127.0.0.1:99999 | 1      | malformed   |
      | 999.0.0.1:80    | 1      | malformed   |
      | 127.0.0.1:0     | 1      | unreachable |
      | 127.0.0.1:1     | 1      | unreachable |
      | 127.0.0.1:1     | a\nb   | malformed   |

  # Guards against a worker that counts as unreachable because the gateway itself was held up while the connection was made.
  Scenario: A connection that was made while the process was held up carries its exchange
    Then the exchange succeeds although the process is held up for 1200 ms while its connection is made

  # Guards against a client that gets an answer whose status is none, and against a library that asserts that there is one.
  Scenario Outline: A response with the status <status> fails its exchange as broken, without a failed assertion
    Then the exchange with a response of the status "<status>" fails as "broken" with no assertion, and the next one succeeds

    Examples:
      | status |
      | 000    |
      | 099    |
      | 600    |
      | 999    |
      | 0      |
      | 2000   |

  # Guards against a caller that is held for good by a response that sends a byte now and then.
  Scenario: A call whose response dribbles without end fails
    Then a call that may stall for 50 ms fails within 1000 ms when its response sends a byte each 20 ms
