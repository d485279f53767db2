Feature: A key that is withdrawn while a request is on its way to a worker

  # Guards against a request that is sent, or sent again, with a key that the rules in force no longer have.
  Scenario Outline: A request whose key <what> <when> ends in <status>, and goes out <sends> times
    Given a gateway of organisations whose first worker <when>, while the key <what>
    When a caller of the organisations sends a request to "<path>"
    Then its caller gets <status> with the reason "<reason>", and it went out <sends> times, for the last time as "<name>"

    Examples:
      | what                       | when                        | path    | status | reason        | sends | name  |
      | is withdrawn               | has its connection opened   | /safe   | 401    | withdrawn_key | 0     | none  |
      | is withdrawn               | refuses it                  | /safe   | 401    | withdrawn_key | 1     | north |
      | is withdrawn               | breaks off                  | /safe   | 502    | withdrawn_key | 1     | north |
      | is withdrawn               | has its connection opened   | /unsafe | 401    | withdrawn_key | 0     | none  |
      | is withdrawn               | has its connection opened   | /stream | 401    | withdrawn_key | 0     | none  |
      | goes to another one        | has its connection opened   | /safe   | 200    | answered      | 1     | south |
      | goes to another one        | breaks off                  | /safe   | 200    | answered      | 2     | south |
      | stays in a later version   | has its connection opened   | /safe   | 200    | answered      | 1     | north |
      | stays in a later version   | breaks off                  | /safe   | 200    | answered      | 2     | north |

  Scenario: An engine to which nothing was sent is not taken for one that fails
    Given a gateway of organisations whose first worker has its connection opened, while the key is withdrawn
    When a caller of the organisations sends a request to "/stream"
    Then its engine does not count as failing, and the memory that was reserved is released
