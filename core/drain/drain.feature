Feature: Drain
  Scenario Outline: A drain answers <steps>
    When a drain gets "<steps>"
    Then the drain did "<effects>" and is "<state>"

    Examples:
      | steps                               | effects                                | state    |
      | admit, signal, admit                | admitted, announce, refused            | draining |
      | admit, signal, finish, admit        | admitted, announce, exit, refused      | drained  |
      | signal, signal                      | announce exit, nothing                 | drained  |
      | admit, signal, signal, finish       | admitted, announce, end_in_flight, exit | drained |
      | admit, finish, admit                | admitted, nothing, admitted            | serving  |
