Feature: Packing streams into the memory of an engine

  Scenario: The packing peak is what streams that grow together reach
    Then the packing peak equals the peak of a token-by-token simulation for 300 random sets of streams

  Scenario: The packing expectation grows with what is made and never ends before it
    Then the expected whole output is at least the generated output and does not decrease as it grows, for 300 random outputs

  Scenario: A packing by the maximum never lets memory run out
    Then a packer with the policy "full" keeps 300 random loads within the memory

  Scenario: A packing counts a stream until it has run, or until it is dropped or late
    Given a packer with 1000 tokens and the policy "full"
    Then the packer admits "a" with a prompt of 500 and at most 400 tokens at 0 ms
    And the packer refuses "b" with a prompt of 500 and at most 400 tokens at 10 ms
    When the packer releases "a" before it has started
    Then the packer admits "b" with a prompt of 500 and at most 400 tokens at 20 ms
    And the packer refuses "c" with a prompt of 500 and at most 400 tokens at 2000 ms
    And the packer admits "c" with a prompt of 500 and at most 400 tokens at 2021 ms

  Scenario: A packing knows streams that it did not admit
    Given a packer with 1000 tokens and the policy "full"
    When the engine of the packer reports the stream "x" with 800 tokens in memory after 1 events
    Then the packer refuses "a" with a prompt of 300 and at most 10 tokens at 0 ms

  Scenario Outline: A packing that starts beside running streams knows what is free
    Given a packer with 1000 tokens and the policy "<policy>"
    When the engine of the packer reports the stream "x" with 500 tokens in memory after <events> events
    Then the packer has from 1 to 500 tokens free

    Examples:
      | policy | events |
      | full   | 0      |
      | full   | 20     |
      | likely | 0      |
      | likely | 1      |
      | likely | 20     |

  Scenario: A packing keeps the memory of a run that its engine has put back
    Given a packer with 1000 tokens and the policy "full"
    Then the packer admits "a" with a prompt of 500 and at most 400 tokens at 0 ms
    When the engine of the packer reports the stream "a" with 510 tokens in memory after 1 events
    And the engine of the packer reports no running stream
    Then the packer refuses "b" with a prompt of 500 and at most 400 tokens at 10 ms
    When the packer is told that "a" has ended complete
    Then the packer admits "b" with a prompt of 500 and at most 400 tokens at 20 ms

  Scenario Outline: A packing learns how long streams are only from those that were whole
    Given a packer with 1000 tokens and the policy "likely"
    When 12 streams of the packer end <how> after 1 events
    Then the packer admits "a" with a prompt of 300, at most 900 and an estimate of 300 tokens
    And the packer <verdict> "b" with a prompt of 300, at most 900 and an estimate of 300 tokens

    Examples:
      | how        | verdict |
      | incomplete | refuses |
      | complete   | admits  |
