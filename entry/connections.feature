Feature: How the HTTP server of an entry closes the connections of its callers

  Background:
    Given an entry server with a slow route and one that fails

  Scenario: The response to a call in flight is not replaced by an answer to bytes behind it
    When a caller of the entry server writes "GET /slow" and then "nonsense" on one connection
    Then the caller of the entry server gets the statuses "200"

  Scenario: A refusal of a large body reaches a caller that still sends it
    When a caller of the entry server sends a body that is too large, and reads only afterwards
    Then the caller of the entry server gets the statuses "413"

  Scenario: A call whose handler fails gets a response
    When a caller of the entry server writes "GET /failing" and then "" on one connection
    Then the caller of the entry server gets the statuses "500"
