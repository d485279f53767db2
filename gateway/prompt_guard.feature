Feature: The gateway tells an answer that ended whole from one that a crash ended, when its end does not show which

  # Guards against sound prompts that are held back in place of those that crash engines (review/7): answers without a length end alike either way.
  Scenario: Sound prompts whose answers end with their connections are not blamed for the crashes of their engines
    Given a prompt guard over 4 engines
    When the guard sees whole answers without a length to "system letter style" every 100 ms, and one engine crash under "system bad" every 3000 ms, for 30000 ms
    Then the guard holds back "system bad other"
    And the guard does not hold back "system letter style"

  # Guards against the pardon of a prompt that crashes engines, while nobody hears that they are gone.
  Scenario: An answer without a length is not taken for whole by a gateway that is behind the store
    Given a prompt guard over 4 engines
    And the guard's gateway has not heard the store for 5000 ms
    When the guard sees one whole answer without a length to "system bad", and 6500 ms pass
    And the guard sees engines crash under "system bad" 3 times, 500 ms apart
    Then the guard holds back "system bad"

  Scenario: An engine that has gone after a whole answer without a length has crashed under it
    Given a prompt guard over 4 engines
    When the guard sees one whole answer without a length to "system bad" at each of 3 engines that are gone 1000 ms later
    Then the guard holds back "system bad"

  # Guards against ends that are forgotten before their engine is found to be gone.
  Scenario: Ends that wait for the confirmation of a crash are kept beside many others, and those that are dropped are counted
    Given a prompt guard over 4 engines
    When the guard sees one whole answer without a length to "system bad" at each of 3 engines that are gone 1000 ms later, beside 600 whole answers to "system letter"
    Then the guard holds back "system bad"
    When the guard sees 3000 whole answers without a length to "system letter" at once
    Then the guard has counted at least 900 dropped ends
