Feature: A stream goes on only at the software version that began it

  Background:
    Given a versioned gateway site with the engines
      | id | version |
      | d2 | v2      |
      | d1 | v1      |
      | d3 | v1      |

  # Guards against an answer that is joined from two versions.
  Scenario: A stream that breaks goes on at another engine of its version
    Given only the versioned engines "d1" have memory
    And the versioned engine "d1" loses its next stream after event 3
    When a versioned client begins the stream "a" while the engines "d2, d3" get memory after event 2
    Then the versioned client has the events 1 to 8 of "a", all of "v1"
    And the versioned answer is complete

  Scenario: A stream that breaks ends when no other engine of its version is left
    Given only the versioned engines "d2" have memory
    And the versioned engine "d2" loses its next stream after event 3
    When a versioned client begins the stream "a" while the engines "d1, d3" get memory after event 2
    Then the versioned client has the events 1 to 3 of "a", all of "v2"
    And the versioned answer is not complete

  Scenario: A stream without an event goes on at an engine of any version
    Given only the versioned engines "d1" have memory
    And the versioned engine "d1" loses its next stream before the head
    When a versioned client begins the stream "a" while the engines "d2" get memory
    Then the versioned client has the events 1 to 8 of "a", all of "v2"

  Scenario: A silent stream goes on only at an engine of its version
    Given only the versioned engines "d1" have memory
    And the versioned engine "d1" falls silent after event 2 for 1900 ms
    When a versioned client begins the stream "a" while the engines "d2, d3" get memory after event 2
    Then the versioned client has the events 1 to 8 of "a", all of "v1"

  # Guards against streams that are joined from two versions after every gateway has lost its memory.
  Scenario: A client takes its stream up at a gateway that has just started
    Given a sidecar of the versioned engines that remembers streams
    And only the versioned engines "d1" have memory
    When a versioned client begins the stream "a" and leaves after event 3
    And only the versioned engines "d2, d3" have memory
    And the versioned client takes "a" up as "b" at a gateway that has just started
    Then the versioned client has the events 1 to 8 of "a", all of "v1"

  Scenario: A client takes its stream up at the gateway where it began, with no sidecar
    Given only the versioned engines "d1" have memory
    When a versioned client begins the stream "a" and leaves after event 3
    And only the versioned engines "d2, d3" have memory
    And the versioned client takes "a" up as "b"
    Then the versioned client has the events 1 to 8 of "a", all of "v1"

  Scenario: A stream that was taken up goes on at its version when it is taken up once more, whichever of its attempts the client names
    Given a sidecar of the versioned engines that remembers streams
    And only the versioned engines "d1" have memory
    When a versioned client begins the stream "a" and leaves after event 3
    And the versioned client takes "a" up as "b" at a gateway that has just started, and leaves after event 5
    And only the versioned engines "d2, d3" have memory
    And the versioned client takes "a" up as "c" at a gateway that has just started
    Then the versioned client has the events 1 to 8 of "a", all of "v1"
    When the versioned client takes "b" up after event 7 as "d" at a gateway that has just started
    Then the versioned client has the events 8 to 8 of "d", all of "v1"

  Scenario: A stream whose version has gone is refused at once, and told no time to come back
    Given a sidecar of the versioned engines that remembers streams
    And only the versioned engines "d1" have memory
    When a versioned client begins the stream "a" and leaves after event 3
    And the versioned engines "d1, d3" leave
    And only the versioned engines "d2" have memory
    And the versioned client takes "a" up as "b" at a gateway that has just started
    Then the versioned client is refused with "version_gone", without a time to come back
    And the versioned engine "d2" saw 0 requests

  Scenario: A stream whose version has no room now is refused with a time to come back
    Given a sidecar of the versioned engines that remembers streams
    And only the versioned engines "d1" have memory
    When a versioned client begins the stream "a" and leaves after event 3
    And only the versioned engines "d2" have memory
    And the versioned client takes "a" up as "b" at a gateway that has just started
    Then the versioned client is refused with "no_memory", with a time to come back
    And the versioned engine "d2" saw 0 requests

  # Guards against a refusal in the log that cannot be told from one for lack of room.
  Scenario: A stream whose version has only prefill engines is refused with that reason and a time to come back
    Given a sidecar of the versioned engines that remembers streams
    And only the versioned engines "d1" have memory
    When a versioned client begins the stream "a" and leaves after event 3
    And the versioned engines "d1, d3" change to prefill
    And the versioned client takes "a" up as "b" at a gateway that has just started
    Then the versioned client is refused with "version_prefills", with a time to come back
    And the versioned engine "d2" saw 0 requests

  # Nobody knows what began the stream, so any engine may be of another version.
  Scenario Outline: A stream that <what> is not taken up
    Given a sidecar of the versioned engines that remembers streams
    And only the versioned engines "d1" have memory
    When a versioned client begins the stream "a" and leaves after event 3
    And the versioned engines "d1, d2, d3" all have memory
    And the versioned client <takes up> at a gateway that has just started
    Then the versioned client is refused with "origin_unknown", without a time to come back
    And the versioned engine "d2" saw 0 requests
    And the versioned engine "d3" saw 0 requests

    Examples:
      | what                            | takes up                                   |
      | names an attempt that never was | takes "x" up after event 3 as "b"          |
      | names no attempt                | takes "a" up without naming an attempt     |

  Scenario: A stream is not taken up when its sidecar has started anew and its gateway is gone
    Given a sidecar of the versioned engines that remembers streams
    And only the versioned engines "d1" have memory
    When a versioned client begins the stream "a" and leaves after event 3
    And a versioned gateway that has just started is connected to a sidecar that has just started, and the first gateway is not
    And the versioned client takes "a" up as "b" at the gateway that has just started
    Then the versioned client is refused with "origin_unknown", without a time to come back

  # Guards against the loss of what is known when sidecars are replaced one after the other.
  Scenario: A sidecar that has started anew is told what the gateways know
    Given a sidecar of the versioned engines that remembers streams
    And only the versioned engines "d1" have memory
    When a versioned client begins the stream "a" and leaves after event 3
    And the sidecar of the versioned engines starts anew
    And only the versioned engines "d2, d3" have memory
    And the versioned client takes "a" up as "b" at a gateway that has just started
    Then the versioned client has the events 1 to 8 of "a", all of "v1"

  Scenario: An id that two streams of different versions bear is not taken up
    Given a sidecar of the versioned engines that remembers streams
    And only the versioned engines "d1" have memory
    When a versioned client begins the stream "a" and leaves after event 3
    And only the versioned engines "d2" have memory
    And a versioned client begins the stream "a" and leaves after event 3
    And the versioned engines "d1, d2, d3" all have memory
    And the versioned client takes "a" up as "b" at a gateway that has just started
    Then the versioned client is refused with "origin_unknown", without a time to come back

  Scenario: A caller that names a stream of another version gets only events of that version, and those of one answer
    Given a sidecar of the versioned engines that remembers streams
    And only the versioned engines "d2" have memory
    When a versioned client begins the stream "a" and leaves after event 3
    And the versioned engines "d1, d2, d3" all have memory
    And the versioned client takes "a" up after event 6 as "b" at a gateway that has just started
    Then the versioned client has the events 7 to 8 of "b", all of "v2"

  # Guards against a stream that goes on at an engine whose software has changed, at a gateway that stood still or was cut off meanwhile.
  Scenario: A gateway that is behind does not go on with a stream at an engine that has started again with another version
    Given a sidecar of the versioned engines that remembers streams
    And only the versioned engines "d1" have memory
    When a versioned client begins the stream "a" and leaves after event 3
    And a versioned gateway goes out of step, and the engine "d3" starts again with the version "v2"
    And only the versioned engines "d3" have memory
    And the versioned client takes "a" up as "b" at the gateway that is out of step
    Then the versioned client is refused with "no_memory", with a time to come back
    And the versioned engine "d3" streamed to 0 requests

  # Guards against a wrong version that is remembered for a stream, which then goes on at engines of that version.
  Scenario: A gateway that is behind begins no stream at an engine that has started again with another version
    Given a sidecar of the versioned engines that remembers streams
    When a versioned gateway goes out of step, and the engine "d3" starts again with the version "v2"
    And only the versioned engines "d3" have memory
    And a versioned client begins the stream "a" at the gateway that is out of step
    Then the versioned client is refused with "no_memory", with a time to come back
    And the versioned engine "d3" streamed to 0 requests

  # The report of other operators: a release, and one gateway out of step.
  Scenario: A gateway that is behind does not go on with a stream that an engine it does not know began
    Given a sidecar of the versioned engines that remembers streams
    And a versioned gateway goes out of step, and the engine "d9" of the version "v9" starts
    And only the versioned engines "d9" have memory
    When a versioned client begins the stream "a" and leaves after event 3
    And the versioned engines "d1, d2, d3" all have memory
    And the versioned client takes "a" up as "b" at the gateway that is out of step
    Then the versioned client is refused with "view_old", with a time to come back
    And the versioned engine "d1" saw 0 requests
    And the versioned engine "d2" saw 0 requests
    When the versioned client takes "a" up as "c"
    Then the versioned client has the events 1 to 8 of "a", all of "v9"
