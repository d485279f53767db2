Feature: Configuration records of two schema versions
  Scenario Outline: A record of kind <kind> decodes alike from both schema versions
    Then the record "<kind>" decodes to the same internal form from schema 1 and schema 2

    Examples:
      | kind    |
      | tier    |
      | caller  |
      | model   |
      | backend |
      | service |
      | policy  |

  Scenario Outline: A broken record is refused with the reason
    Then the record "<key>" with the value '<value>' is refused as "<error>" at "<path>" expecting "<expected>"

    Examples:
      | key         | value                                                    | error          | path        | expected             |
      | service/s   | {"schema":3,"calls":[],"timeoutMs":1}                    | unknown_schema | schema      | one of the versions  |
      | service/s   | {"calls":[],"timeoutMs":1}                               | unknown_schema | schema      | one of the versions  |
      | service/s   | [1]                                                      | not_json       |             | a JSON object        |
      | service/s   | {"schema":1                                              | not_json       |             | a JSON object        |
      | service/s   | {"schema":1,"calls":[],"timeoutMs":"5"}                  | wrong_field    | timeoutMs   | number               |
      | service/s   | {"schema":1,"calls":[],"timeoutMs":5,"timeout":1}        | wrong_field    | timeout     | no field of this     |
      | service/s   | {"schema":1,"calls":[{"method":"GET","path":"/"}],"timeoutMs":5} | wrong_field | calls.0.idempotent | boolean |
      | service/s   | {"schema":2,"calls":[],"timeoutMs":5}                    | wrong_field    | rules       | array                |
      | flavour/s   | {"schema":1}                                             | unknown_key    |             | one of the kinds     |
      | service     | {"schema":1}                                             | unknown_key    |             | one of the kinds     |

  Scenario: A record above one megabyte is refused without being parsed
    Then a record of 1048577 bytes is refused as "too_large" and one of 1048576 bytes is not

  Scenario: No text makes the record decoder throw
    Then the record decoder answers with a value for any text
