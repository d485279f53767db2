@sent_metrics
Feature: Metrics that the processes send
  Scenario: One answer, one refusal and one repeated call under a ticket are counted once each
    Given a deployment that sends metrics and decodes a token in 8 ms
    When its caller gets a response of 6 tokens for a prompt of 4 words, a refused booking and a booking that is repeated
    Then its metrics are exactly
      | metric                                           | value |
      | requests outcome:done,tier:pagante               | 1     |
      | tokens tier:pagante                              | 6     |
      | prefilled_tokens tier:pagante                    | 4     |
      | wasted_prefill_tokens                            | 0     |
      | retries                                          | 0     |
      | refusals code:ticket_required,tier:pagante       | 1     |
      | tickets_issued service:prenota                   | 1     |
      | calls outcome:done,service:prenota               | 2     |
      | calls_replayed service:prenota                   | 1     |
      | cancels cause:result_released                    | 1     |
      | leases_lost                                      | 0     |
      | pauses                                           | 0     |
    And its metrics have 1 sample of "queue_time class:paid"
    And its metrics have 1 sample of "cancel_time"
    And its gauges have reached
      | metric                    | value |
      | tickets_held              | 1     |
      | requests_in_flight        | 0     |
      | seats_used                | 0     |
      | pieces_reserved           | 0     |
      | queue_length class:paid   | 0     |
      | queue_length class:free   | 0     |
      | connections process:agent | 3     |

  Scenario: A pause of an entry beyond its lease is counted at both ends
    Given a deployment that sends metrics and decodes a token in 200 ms
    When its entry is frozen for 3500 ms in the middle of a response
    Then its metrics are exactly
      | metric                             | value |
      | pauses                             | 1     |
      | leases_lost cause:lease_expired    | 1     |
      | cancels cause:lease_expired        | 1     |

  Scenario Outline: A prefill whose attempt ends by <events> is wasted under <wasted>
    When the attempt metrics of a request record "<events>"
    Then the wasted prefill tokens are "<wasted>" and the retries are "<retries>"

    Examples:
      | events                                     | wasted               | retries         |
      | prefilled 1, tokens 1, gone                |                      |                 |
      | prefilled 1, gone                          | 30 caller_gone       |                 |
      | prefilled 1, failed, tokens 2              | 30 backend_error     | 1 backend_error |
      | prefilled 1, wake                          | 30 unreachable       | 1 unreachable   |
      | prefilled 1, refuse                        | 30 deadline_exceeded |                 |
      | prefilled 1, prefilled 1, tokens 1         | 30 replaced          |                 |
      | failed, prefilled 1, prefilled 2, tokens 2 | 30 late              | 1 backend_error |
