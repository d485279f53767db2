Feature: A request belongs to the organisation that holds its key

  Background:
    Given the organisations of the rules
      | name  | keys     | priority |
      | north | n-1, n-2 | 0        |
      | south | s-1      |          |
      | empty |          |          |

  Scenario Outline: A request with <what> on a route that serves <route> is <result>
    Then the caller with "<key>" on a route that serves "<route>" is "<result>"

    Examples:
      | what                | key       | route     | result        |
      | a key               | n-2       | keys      | north         |
      | a key               | s-1       | keys      | south         |
      | a key               | n-1       | anonymous | north         |
      | no key              |           | keys      | missing_key   |
      | no key              |           | anonymous | anonymous     |
      | a key that is odd   | malformed | keys      | malformed_key |
      | a key that is odd   | malformed | anonymous | malformed_key |
      | a key nobody holds  | x-1       | keys      | unknown_key   |
      | a key nobody holds  | x-1       | anonymous | unknown_key   |
      | a name for a key    | north     | keys      | unknown_key   |

  Scenario: Where the rules name no organisations, no caller carries a key
    Given rules without organisations
    Then the caller with "x-1" on a route that serves "keys" is "not asked for a key"

  # Guards against a withdrawn key that is served, a new one that is refused, and a key that stands for its former holder.
  Scenario: Keys that come, go and change hands belong to whom the newest version says
    Then in 300 random histories of keys each request belongs to the organisation that the version in force says

  Scenario: The changes of keys are named without any key
    Given version 2 of the organisations of the rules
      | name  | keys          |
      | north | n-2, n-3, n-4 |
      | south | s-1, n-1      |
    Then the rules have 5 keys, of which 3 were added, and withdrew 1 from "north"
    And the changes of keys name no key
