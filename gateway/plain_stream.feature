Feature: A stream of a plain service goes on where its client has it, at the software version that began it

  Background:
    Given a gateway site with the plain workers "w1"
    And the gateway operator lets streams of the plain service be taken up

  # Guards against events that a client gets twice, because what it has of a stream is not passed on.
  Scenario: A plain worker is told which event the client has last
    When a plain client begins the stream "a"
    And a plain client takes the stream "a" up after event 3 as "b"
    Then the plain client gets 200
    And the plain worker "w1" saw the stream "b" go on after event 3

  # Guards against an answer that is joined from two versions.
  Scenario: A stream of a plain service goes on only at its software version
    When a plain client begins the stream "a"
    And the plain worker "w2" of the version "v2" starts
    And a plain client takes the stream "a" up after event 3 as "b" 10 times
    Then the plain client gets 200 each time
    And the plain worker "w2" saw no stream
    When the plain worker "w1" leaves
    And a plain client takes the stream "a" up after event 3 as "c"
    Then the plain client gets 503 with "version_gone"
    And the plain worker "w2" saw no stream

  Scenario: A stream of a plain service that nobody remembers is not taken up
    When a plain client takes the stream "x" up after event 3 as "b"
    Then the plain client gets 503 with "origin_unknown"
    And the plain worker "w1" saw no stream

  # Guards against a stream that one kind of service began and the other one goes on with, on a route that is split between them.
  Scenario: A stream on a route that is split goes on at the service that began it
    When a plain client begins the stream "a"
    And the gateway operator sends the route of that stream to engines too, and the engine "d1" starts
    And a plain client takes the stream "a" up after event 3 as "b" 10 times
    Then the plain client gets 200 each time
    And the plain worker "d1" saw no stream

  Scenario: A request that is no stream keeps its way whatever event it names
    When a plain client sends "GET /safe/x" after event 3
    Then the plain client gets 200
