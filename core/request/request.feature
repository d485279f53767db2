Feature: The request machine
  Scenario Outline: A request with the policy <policy> does "<effects>" for <events>
    Given a request with the policy "<policy>"
    When the request gets "<events>"
    Then the request did "<effects>"

    Examples: a complete answer under each policy
      | policy        | events                                                             | effects |
      | reserve_first | start, d1 reserved, p1 prefilled, d1 tokens 0 2, d1 finished 2     | reserve d1/1, prefill p1/1, decode d1/1, cancel p1/1, emit 0 2, end 2 |
      | prefill_first | start, p1 prefilled, d1 reserved, d1 tokens 0 2, d1 finished 2     | prefill p1/1, reserve d1/1, decode d1/1, cancel p1/1, emit 0 2, end 2 |
      | predicted     | start, wake bind, d1 reserved, p1 prefilled, d1 tokens 0 2, d1 finished 2 | prefill p1/1, reserve d1/1, decode d1/1, cancel p1/1, emit 0 2, end 2 |

    Examples: late, duplicate and out-of-order messages
      | policy        | events                                                                 | effects |
      | reserve_first | start, d1 reserved, p1 prefilled, d1 tokens 1 1, d1 tokens 0 1, d1 tokens 0 2, d1 finished 2 | reserve d1/1, prefill p1/1, decode d1/1, cancel p1/1, emit 0 2, end 2 |
      | reserve_first | start, d1 reserved, p1 prefilled, d1 finished 2, d1 tokens 0 2, d1 finished 2, d1 tokens 0 2 | reserve d1/1, prefill p1/1, decode d1/1, resume d1/1 0, cancel p1/1, emit 0 2, end 2 |
      | reserve_first | start, d9 reserved, d1 reserved, d1 reserved | reserve d1/1, prefill p1/1 |

    Examples: refusals and their outcomes
      | policy        | events                                   | effects |
      | reserve_first | start, d1 refused, d2 refused, d3 refused | reserve d1/1, cancel d1/1, reserve d2/1, cancel d2/1, reserve d3/1, cancel d3/1, refuse not_run |
      | reserve_first | start, d1 reserved, p1 refused, p2 refused, p3 refused | reserve d1/1, prefill p1/1, cancel p1/1, prefill p2/1, cancel p2/1, prefill p3/1, cancel p3/1, cancel d1/1, refuse not_run |
      | reserve_first | start, d1 reserved, p1 lost, p2 refused, p3 refused | reserve d1/1, prefill p1/1, cancel p1/1, prefill p2/1, cancel p2/1, prefill p3/1, cancel p3/1, cancel d1/1, refuse unknown |

    Examples: a backend server that is lost, reachable again, or stalled
      | policy        | events                                                                 | effects |
      | reserve_first | start, d1 reserved, p1 prefilled, d1 tokens 0 2, d1 lost, d1 back, d1 tokens 2 1, d1 finished 3 | reserve d1/1, prefill p1/1, decode d1/1, cancel p1/1, emit 0 2, resume d1/1 2, emit 2 1, end 3 |
      | reserve_first | start, d1 reserved, p1 prefilled, d1 tokens 0 2, d1 lost, wake resume, d2 reserved, p1 prefilled, d1 tokens 2 1, d2 tokens 2 1, d2 finished 3 | reserve d1/1, prefill p1/1, decode d1/1, cancel p1/1, emit 0 2, cancel d1/1, reserve d2/2, prefill p1/2, decode d2/2, cancel p1/2, emit 2 1, end 3 |
      | reserve_first | start, d1 reserved, p1 prefilled, d1 tokens 0 2, wait 2000, wake stall, d1 tokens 2 1 | reserve d1/1, prefill p1/1, decode d1/1, cancel p1/1, emit 0 2, cancel d1/1, reserve d2/2 |

    # Guards against a begun answer that is broken off because its engine fell silent, although nothing else could go on with it.
    Examples: a stream that stalls goes on when it comes back and there was no other backend server, attempt or retry for it
      | policy        | events                                                                 | effects |
      | reserve_first | start, d1 refused, d2 refused, d3 reserved, p1 prefilled, d3 tokens 0 2, wait 2000, wake stall, d3 tokens 2 1, d3 finished 3 | reserve d1/1, cancel d1/1, reserve d2/1, cancel d2/1, reserve d3/1, prefill p1/1, decode d3/1, cancel p1/1, emit 0 2, emit 2 1, end 3 |
      | reserve_first | start, d1 refused, d2 refused, d3 reserved, p1 prefilled, wait 2000, wake stall, wait 2000, wake stall, d3 tokens 0 2, d3 finished 2 | reserve d1/1, cancel d1/1, reserve d2/1, cancel d2/1, reserve d3/1, prefill p1/1, decode d3/1, cancel p1/1, emit 0 2, end 2 |
      | reserve_first | start, d1 reserved, p1 lost, p2 lost, p3 prefilled, wait 2000, wake stall, d1 tokens 0 2, d1 finished 2 | reserve d1/1, prefill p1/1, cancel p1/1, prefill p2/1, cancel p2/1, prefill p3/1, decode d1/1, cancel p3/1, emit 0 2, end 2 |
      | reserve_first | start, d1 refused, d2 refused, d3 reserved, p1 prefilled, d3 tokens 0 2, wait 2000, wake stall, wake deadline | reserve d1/1, cancel d1/1, reserve d2/1, cancel d2/1, reserve d3/1, prefill p1/1, decode d3/1, cancel p1/1, emit 0 2, cancel d3/1, break unknown |

    Examples: an agent that reports a paused stream
      | policy        | events                                                                 | effects |
      | reserve_first | start, d1 reserved, p1 prefilled, wait 1400, d1 tokens 0 0, wait 1400, wake stall, d1 tokens 0 2 | reserve d1/1, prefill p1/1, decode d1/1, cancel p1/1, emit 0 2 |

    Examples: a refusal after the target has passed
      | policy        | events                      | effects |
      | reserve_first | start, d1 late, d2 reserved | reserve d1/1, cancel d1/1, reserve d2/1, prefill p1/1 |
      | reserve_first | start, wait 1200, d1 late   | reserve d1/1, cancel d1/1, refuse not_run |

    Examples: the retry budget of 2 limits requests that can still be refused, but not an answer that has begun
      | policy        | events                                                                 | effects |
      | reserve_first | start, d1 reserved, p1 lost, p2 lost, p3 lost | reserve d1/1, prefill p1/1, cancel p1/1, prefill p2/1, cancel p2/1, prefill p3/1, cancel p3/1, cancel d1/1, refuse unknown |
      | reserve_first | start, d1 reserved, p1 lost, p2 lost, p3 prefilled, d1 tokens 0 1, d1 failed | reserve d1/1, prefill p1/1, cancel p1/1, prefill p2/1, cancel p2/1, prefill p3/1, decode d1/1, cancel p3/1, emit 0 1, cancel d1/1, reserve d2/2 |

    Examples: a caller that disconnected
      | policy        | events                                            | effects |
      | reserve_first | start, d1 reserved, gone, p1 prefilled             | reserve d1/1, prefill p1/1, cancel p1/1, cancel d1/1 |
      | reserve_first | start, d1 reserved, p1 prefilled, d1 tokens 0 2, gone, d1 tokens 2 1 | reserve d1/1, prefill p1/1, decode d1/1, cancel p1/1, emit 0 2, cancel d1/1 |

  Scenario Outline: A request spends no prefill on what can't be in time or finds no decode room
    Given a request with the policy "<policy>", a prefill of <prefill> ms and a reservation that waits <wait> ms
    When the request gets "<events>"
    Then the request did "<effects>"

    Examples:
      | policy        | prefill | wait | events             | effects                   |
      | prefill_first | 1201    | 0    | start              | refuse not_run            |
      | reserve_first | 1200    | 0    | start              | reserve d1/1              |
      | predicted     | 100     | 0    | start              | prefill p1/1              |
      | predicted     | 100     | 1    | start, d1 reserved | reserve d1/1, prefill p1/1 |
