@metrics
Feature: Metrics
  Scenario: The page of metrics and the table agree
    When the metrics page is read
    Then the metrics page has exactly one matching row for each metric of the table

  Scenario: Metrics reach a StatsD server with prefix and tags
    Given a metrics server
    When metrics with the prefix "sipario" count a request with the outcome "done"
    Then the metrics server received "sipario.requests:1|c" with the tag "outcome:done"

  Scenario: Metrics to a server that is down harm nothing
    When metrics are sent to a port where nothing listens
    Then the metrics close without an error
