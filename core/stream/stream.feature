Feature: The token assembler
  Scenario: The token assembler writes each token once whatever the order and the repeats
    Given the token assembler gets the batches of an answer of 40 tokens repeated and shuffled 500 times
    Then the token assembler returned each answer complete and once
