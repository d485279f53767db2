Feature: Ports for tests

  Scenario: Two processes that take ports at the same time get different ones
    When two processes with process identifiers close to each other find 30 ports each
    Then no port was found twice

  Scenario: A process that takes more ports than a block holds uses those again that are free
    When a process finds 900 ports
    Then every port lies in the block of the process
