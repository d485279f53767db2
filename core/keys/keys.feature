Feature: The holder of an API key is found by its digest

  Scenario: The index finds who holds a key, and nobody for any other key
    Then in 300 random sets of keys the key index finds the same holders as a plain list

  Scenario: Keys whose digests begin alike are told apart
    Given a key index in which "k-1" and 50 digests that begin like its own have holders
    Then the key index finds the holder of "k-1" and nobody for "k-2"

  Scenario: A digest that is none names nobody
    Given a key index of the digests "", "00" and "zz"
    Then the key index finds nobody for "k-1"

  Scenario: The label of a key tells nothing of its text
    Then the label of 200 random keys has 8 hexadecimal digits of the digest, and is the same each time
