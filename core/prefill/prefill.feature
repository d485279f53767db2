Feature: Prefill beside the streams of a decode engine

  # Guards against a prefill speed that is assumed: prompts of a burst then stop the streams of slower engines for too long.
  Scenario Outline: In a burst, no prompt that a decode engine may run stops its streams for longer than their pause
    Then with engines of <speed> tokens a ms, pieces of <piece> tokens and steps of <step> ms, none of 600 prompts that decode engines may run stops their streams for more than 300 ms, and at least <share> of 100 may run

    Examples:
      | speed | piece | step | share |
      | 33.3  | 512   | 4.5  | 30    |
      | 55.6  | 1024  | 0.7  | 40    |
      | 12    | 512   | 6    | 5     |

  # Guards against prefills that were measured behind the prompts of other processes.
  Scenario: Most samples of an engine may be long, the speed of the engine is the shortest of them
    Then an engine whose prefills take 0.12, 0.03, 0.2 and 0.09 ms for each token is known to take 0.03 ms
    And after 8 more prefills of 0.11 ms it is known to take 0.11 ms

  # Guards against a speed taken from a prompt that the engine had cached: the next ones count as lost after 160 ms.
  Scenario: A prompt that was cached says nothing of the speed of its engine
    Then an engine whose prefills take 0.03, 0.0004, 0.03 and 0.034 ms for each token is known to take 0.03 ms
    And after 8 more prefills of 0.005 ms it is known to take 0.005 ms

  # Guards against decode engines that are taken to be as fast as the fastest prefill engine: a slow one then stops its streams for too long.
  Scenario: The time of a prefill at a decode engine is that of this engine, else of the slowest one known
    Then with prefill engines that take 0.014 and 0.032 ms for each token, 5000 tokens take 360 ms at a decode engine that is not known
    And 140 ms at one that took 0.028 ms for each token of 3 prompts and nothing for one that was cached

  # Guards against a queue of prefills that outlasts its burst: prompts join it although they cannot be finished in time.
  Scenario: A burst beyond the capacity for prefill leaves no queue behind
    Then with 1 prefill and 6 decode engines, 9 prompts a second and 18 in a burst from 2 to 7 s, all prompts that are accepted start within 900 ms
    And at least 4 of 5 prompts are accepted
    And when all prompts may join the queue, more than a quarter of those after the burst start later
