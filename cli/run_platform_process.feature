@platform
Feature: A process on the platform outlives signals and errors that are not its end

  Scenario Outline: A gateway process goes on serving after <what>, and says so
    Given a platform process "gateway" with a worker
    When the platform process meets <what>
    Then the platform process logs "<log>" and still answers 200

    Examples:
      | what                                     | log                       |
      | a SIGHUP with a missing settings file    | ENOENT                    |
      | a SIGHUP with a broken settings file     | expected a JSON object    |
      | a SIGHUP with a deeply nested settings file | expected a JSON object |
      | a SIGHUP with an odd field               | bounds.grace_s            |
      | an uncaught error                        | unexpected error          |
      | an unhandled rejection                   | unexpected error          |

  # Guards against a process that ends by itself because a signal comes before it listens to signals.
  Scenario: A SIGHUP while a gateway process starts does not end it
    Given a platform process "gateway" with a worker that gets SIGHUP as soon as it listens
    Then the platform process logs "settings file has changed" and still answers 200

  # Guards against a process that ends by itself because its settings change while it loads its modules.
  Scenario: A SIGHUP while a gateway process loads its modules does not end it
    Given a platform process "gateway" with a worker that gets SIGHUP while it loads its modules
    Then the platform process logs "settings file has changed" and still answers 200

  # Guards against a second SIGTERM that cuts what the first one lets end.
  Scenario: A gateway process that gets SIGTERM twice ends what is in flight, and exits in order
    Given a platform process "gateway" with a worker
    And the platform worker is "hang"
    When a request is in flight at the platform process, and SIGTERM comes 2 times
    Then the platform request gets 504
    And the platform process exits with 0 within 4500 ms

  Scenario: A sidecar process goes on after a SIGHUP with a broken settings file, and exits in order
    Given a platform process "sidecar" with a worker
    When the platform process meets a SIGHUP with a broken settings file
    Then the platform process logs "expected a JSON object"
    When the platform process gets SIGTERM
    Then the platform process exits with 0 within 1500 ms

  # Guards against running work that is started again because the process itself was frozen, not the engine silent.
  Scenario Outline: A gateway process that is frozen for <ms> ms goes on with a stream, which no engine runs again
    Given a platform process "gateway" with a worker
    When a stream that may go on elsewhere has begun at the platform process, which is frozen for <ms> ms
    Then the platform stream is complete with 30 events, each once, of 1 run

    Examples:
      | ms   |
      | 1300  |
      | 3000  |
      | 6000  |

  # Guards against a frozen process that goes on with the keys that it knew.
  Scenario Outline: A key that is withdrawn while a gateway process is <state> is refused soon after, and for good
    Given a platform process "gateway" with a worker
    And version 2 of the platform rules has the key "k-1"
    When version 3 of the platform rules takes the key "k-1" away while the platform process is <state> for 3000 ms
    Then a request with the key "k-1" gets 401 from the platform process within 4000 ms, and then each time

    Examples:
      | state                  |
      | frozen                 |
      | cut off from the store |
      | killed                 |

  # Guards against the end of a process that completes a response without a length, which its client takes for whole.
  Scenario Outline: A gateway process that ends by <signal> leaves the streams without a length incomplete
    Given a platform process "gateway" with a worker
    And the platform engines are "unframed_stream"
    When streams on "/stream/x" and "/resume/x" have begun at the platform process, which gets <signal>
    Then no platform stream is complete

    Examples:
      | signal  |
      | SIGKILL |
      | SIGABRT |
