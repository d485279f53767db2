Feature: An engine that fails each request at once gets few of them

  # Guards against an engine that draws the streams of its service because it fails them faster than the others serve theirs.
  Scenario Outline: Streams go to the sound engine while another one is <mode>
    Given a gateway site with engines
      | id | stage   | events | every |
      | p1 | prefill | 0      | 0     |
      | d1 | decode  | 4      | 10    |
      | d2 | decode  | 4      | 10    |
    And a gateway worker "d1" that is "<mode>"
    When a gateway client requests a generation on "/stream/x" 30 times
    Then the gateway client has got 200 at least 26 times

    Examples:
      | mode         |
      | error        |
      | ran_503      |
      | full         |
      | reset        |
      | cut_status   |
      | no_status    |
      | extra        |
      | endless_head |
