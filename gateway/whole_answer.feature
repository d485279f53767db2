Feature: A stream looks complete to its client only when its worker has finished it

  # Guards against streams that look complete although they broke off, and against sound ones that never end, on each path of an answer.
  Scenario Outline: A client of <path> gets a stream <framing> that ends <end>, with <lines> <size>, as <outcome> over HTTP/<version>
    Given a site whose workers answer with streams <framing> that end <end>, with <lines> and <size>
    When a client of HTTP/<version> sends "POST <path>" and reads the stream
    Then that stream is <outcome>

    Examples: An engine whose streams may not be taken up
      | path      | framing          | end                      | lines | size         | version | outcome    |
      | /stream/x | without a length | whole                    | LF    | short events | 1.1     | whole      |
      | /stream/x | without a length | whole                    | CRLF  | short events | 1.1     | whole      |
      | /stream/x | without a length | whole                    | CR    | short events | 1.1     | whole      |
      | /stream/x | in chunks        | whole                    | CRLF  | short events | 1.1     | whole      |
      | /stream/x | with a length    | whole                    | CRLF  | long events  | 1.1     | whole      |
      | /stream/x | without a length | whole                    | CRLF  | long events  | 1.0     | whole      |
      | /stream/x | without a length | behind a comment         | LF    | short events | 1.1     | whole      |
      | /stream/x | without a length | inside an event          | CRLF  | short events | 1.1     | broken off |
      | /stream/x | without a length | behind a line of an event | CR   | short events | 1.1     | broken off |
      | /stream/x | without a length | inside an event          | LF    | long events  | 1.0     | broken off |
      | /stream/x | without a length | before the first event   | LF    | short events | 1.1     | broken off |
      | /stream/x | in chunks        | inside an event          | LF    | short events | 1.1     | broken off |
      | /stream/x | in chunks        | inside an event          | LF    | long events  | 1.0     | broken off |
      | /stream/x | with a length    | inside an event          | LF    | short events | 1.1     | broken off |
      | /stream/x | with a length    | behind a line of an event | CRLF | long events  | 1.0     | broken off |

    Examples: An engine whose streams may be taken up
      | path      | framing          | end                      | lines | size         | version | outcome    |
      | /resume/x | without a length | whole                    | CRLF  | short events | 1.1     | whole      |
      | /resume/x | in chunks        | whole                    | CR    | long events  | 1.1     | whole      |
      | /resume/x | in chunks        | behind a comment         | CRLF  | short events | 1.1     | whole      |
      | /resume/x | in chunks        | inside an event          | CRLF  | short events | 1.1     | broken off |
      | /resume/x | with a length    | inside an event          | LF    | long events  | 1.1     | broken off |

    Examples: A plain service, with streams that are passed on when they are whole
      | path            | framing          | end                      | lines | size         | version | outcome    |
      | /plain/x        | without a length | whole                    | LF    | short events | 1.1     | whole      |
      | /plain/x        | without a length | whole                    | CRLF  | short events | 1.0     | whole      |
      | /plain/x        | in chunks        | whole                    | CR    | short events | 1.1     | whole      |
      | /plain/x        | with a length    | whole                    | LF    | short events | 1.1     | whole      |
      | /plain/x        | without a length | behind a comment         | CRLF  | short events | 1.1     | whole      |
      | /plain/x        | with a length    | before the first event   | LF    | short events | 1.1     | whole      |
      | /plain/x        | without a length | inside an event          | LF    | short events | 1.1     | a 502      |
      | /plain/x        | without a length | inside an event          | CRLF  | short events | 1.0     | a 502      |
      | /plain/x        | without a length | behind a line of an event | CRLF | short events | 1.1     | a 502      |
      | /plain/x        | without a length | before the first event   | LF    | short events | 1.1     | a 502      |
      | /plain/x        | in chunks        | inside an event          | CR    | short events | 1.1     | a 502      |
      | /plain/x        | with a length    | inside an event          | LF    | short events | 1.1     | a 502      |
      | /plain-resume/x | without a length | inside an event          | LF    | short events | 1.1     | a 502      |
      | /safe/x         | without a length | inside an event          | LF    | short events | 1.1     | a 502      |
      | /unsafe/x       | without a length | inside an event          | LF    | short events | 1.1     | a 502      |

    Examples: A plain service, with streams that are passed on as they come
      | path            | framing          | end                      | lines | size         | version | outcome    |
      | /plain/x        | without a length | whole                    | CRLF  | long events  | 1.1     | whole      |
      | /plain/x        | without a length | whole                    | LF    | long events  | 1.0     | whole      |
      | /plain/x        | in chunks        | whole                    | LF    | long events  | 1.1     | whole      |
      | /plain/x        | with a length    | whole                    | CR    | long events  | 1.1     | whole      |
      | /plain/x        | without a length | inside an event          | LF    | long events  | 1.1     | broken off |
      | /plain/x        | without a length | inside an event          | CRLF  | long events  | 1.0     | broken off |
      | /plain/x        | in chunks        | inside an event          | LF    | long events  | 1.1     | broken off |
      | /plain/x        | with a length    | inside an event          | LF    | long events  | 1.1     | broken off |
      | /plain/x        | with a length    | inside an event          | CR    | long events  | 1.0     | broken off |
      | /plain-resume/x | without a length | inside an event          | LF    | long events  | 1.1     | broken off |

  # The pages call only a stream that ends inside an event broken off: the end of a killed worker's connection shows no more.
  Scenario Outline: A stream that ends between two events is passed on as it came, <path>
    Given a site whose workers answer with streams without a length that end between two events, with LF and short events
    When a client of HTTP/1.1 sends "POST <path>" and reads the stream
    Then that stream is whole

    Examples:
      | path      |
      | /stream/x |
      | /plain/x  |

  Scenario Outline: Whether an answer is a stream is told by its media type, or by its route: <type> on <path>
    Given a site whose workers answer with streams without a length that end inside an event, with LF and short events
    And the answers of that site have the media type "<type>"
    When a client of HTTP/1.1 sends "POST <path>" and reads the stream
    Then that stream is <outcome>

    Examples:
      | type                             | path      | outcome    |
      | Text/Event-Stream; charset=UTF-8 | /plain/x  | a 502      |
      | text/event-stream;charset=utf-8  | /unsafe/x | a 502      |
      | none                             | /plain/x  | a 502      |
      | none                             | /stream/x | broken off |
      | none                             | /unsafe/x | whole      |
      | application/json                 | /plain/x  | whole      |
      | application/json                 | /resume/x | whole      |

  # Guards against a stream that its client takes up and that looks complete before its last event, or has some events twice.
  Scenario Outline: A client that takes a stream up gets the rest of it as <outcome>, from <path> that ends it <end>, with <lines>
    Given a site whose workers answer with streams without a length that end whole, with <lines> and short events
    When a client of HTTP/1.1 sends "POST <path>" and reads the stream
    And the answers of that site end <end>
    And a client takes that stream up after event 3
    Then that stream is <outcome>

    Examples:
      | path            | lines | end             | outcome    |
      | /resume/x       | CRLF  | whole           | whole      |
      | /resume/x       | CR    | inside an event | broken off |
      | /plain-resume/x | CRLF  | whole           | whole      |
      | /plain-resume/x | LF    | inside an event | a 502      |

  # Guards against a 502 for a stream that another worker could have written, and against a second run where none is allowed.
  Scenario Outline: A stream that broke off before its client had a part of it is sent again where its route allows that: <path>
    Given a site with two plain workers, the first of which ends its stream inside an event
    When a client of HTTP/1.1 sends "POST <path>" and reads the stream
    Then that stream is <outcome>
    And the gateway workers saw <requests> requests

    Examples:
      | path            | outcome | requests |
      | /plain-resume/x | whole   | 2        |
      | /safe/x         | whole   | 2        |
      | /plain/x        | a 502   | 1        |
      | /unsafe/x       | a 502   | 1        |
