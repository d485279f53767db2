Feature: The silence detector
  # Guards against a stalled stream that is kept up by a byte now and then, and against a slow receiver taken for a lost source.
  Scenario Outline: A stream is silent without data for 1200 ms, or without an event for 2400 ms
    Given a silence detector with the timeouts 1200 ms for data and 2400 ms for events
    When the silence detector gets an event at 100 ms and <what> every 500 ms until <last> ms
    Then the silence detector finds the stream silent at <silent> ms, and not 1 ms before

    Examples:
      | what   | last | silent |
      | data   | 100  | 1300   |
      | data   | 600  | 1800   |
      | data   | 2100 | 2500   |
      | data   | 9100 | 2500   |
      | events | 9100 | 10300  |

  Scenario: A stream whose receiver is slow is not silent, and begins anew when it reads on
    Given a silence detector with the timeouts 1200 ms for data and 2400 ms for events
    When the silence detector is suspended from 200 ms to 9000 ms
    Then the silence detector finds the stream silent at 10200 ms, and not 1 ms before
