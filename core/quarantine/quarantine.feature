Feature: A quarantine holds back prompts that crash engines

  Scenario: A part that crashed three engines holds back the prompts that have it, and no others
    Given a quarantine
    When the quarantine sees prompts crash engines at
      | ms   | parts         |
      | 0    | system letter |
      | 700  | system letter |
      | 1900 | system letter |
    Then the quarantine holds back "system letter"
    And the quarantine holds back "other letter": no
    And the quarantine holds back "system": no
    And the quarantine holds back "system invoice": no

  Scenario: Only what crashed prompts have in common is held back, whatever else they have
    Given a quarantine
    When the quarantine sees prompts crash engines at
      | ms   | parts          |
      | 0    | system a x     |
      | 700  | assistant x b  |
      | 1900 | system c x d   |
    Then the quarantine holds back "other x e"
    And the quarantine holds back "system a": no
    And the quarantine holds back "assistant b": no

  Scenario: Two crashes hold nothing back
    Given a quarantine
    When the quarantine sees prompts crash engines at
      | ms  | parts         |
      | 0   | system letter |
      | 700 | system letter |
    Then the quarantine holds back "system letter": no

  Scenario: A first part is not blamed for two bad parts behind it
    Given a quarantine
    When the quarantine sees prompts crash engines at
      | ms   | parts         |
      | 0    | system letter |
      | 700  | system note   |
      | 1400 | system letter |
      | 2100 | system note   |
      | 2800 | system letter |
      | 3500 | system note   |
    Then the quarantine holds back "system letter"
    And the quarantine holds back "system note"
    And the quarantine holds back "system": no

  Scenario: A first part that crashes engines by itself is held back after five crashes
    Given a quarantine
    When the quarantine sees prompts crash engines at
      | ms   | parts  |
      | 0    | system |
      | 700  | system |
      | 1400 | system |
      | 2100 | system |
    Then the quarantine holds back "system": no
    When the quarantine sees prompts crash engines at
      | ms   | parts  |
      | 2800 | system |
    Then the quarantine holds back "system letter"
    And the quarantine holds back "system letter" at 62000 ms
    And the quarantine holds back "system letter" at 63000 ms: no

  Scenario: Engines that crash at the same moment condemn no prompt
    Given a quarantine
    When the quarantine sees prompts crash engines at
      | ms  | parts         |
      | 0   | system letter |
      | 10  | system letter |
      | 20  | system letter |
      | 60  | system letter |
      | 90  | system letter |
      | 150 | system letter |
    Then the quarantine holds back "system letter": no

  Scenario: One engine that breaks off many answers condemns no prompt
    Given a quarantine
    When the quarantine sees prompts crash the same engine at
      | ms   | parts         |
      | 0    | system letter |
      | 700  | system letter |
      | 1900 | system letter |
      | 2900 | system letter |
    Then the quarantine holds back "system letter": no

  Scenario: A prompt that an engine answers is not blamed for crashes before, nor for those shortly after
    Given a quarantine
    When the quarantine sees prompts crash engines at
      | ms   | parts         |
      | 0    | system letter |
      | 700  | system letter |
      | 1400 | system letter |
    And the quarantine sees "system letter" answered at 2000 ms
    Then the quarantine holds back "system letter": no
    When the quarantine sees prompts crash engines at
      | ms   | parts         |
      | 3000 | system letter |
      | 4000 | system letter |
      | 5000 | system letter |
    Then the quarantine holds back "system letter": no

  Scenario: A part that was answered before it began to crash engines is held back
    Given a quarantine
    When the quarantine sees "system letter" answered at 0 ms
    And the quarantine sees prompts crash engines at
      | ms    | parts         |
      | 5100  | system letter |
      | 6100  | system letter |
      | 7100  | system letter |
    Then the quarantine holds back "system letter"

  Scenario: A quarantine ends after its time, and one more crash renews it
    Given a quarantine of 60000 ms that remembers crashes for 180000 ms
    When the quarantine sees prompts crash engines at
      | ms   | parts         |
      | 0    | system letter |
      | 700  | system letter |
      | 1900 | system letter |
    Then the quarantine holds back "system letter" at 61000 ms
    And the quarantine holds back "system letter" at 62000 ms: no
    When the quarantine sees prompts crash engines at
      | ms     | parts         |
      | 100000 | system letter |
    Then the quarantine holds back "system letter" at 159000 ms
    And the quarantine holds back "system letter" at 161000 ms: no

  Scenario: Crashes that three processes saw are known to all, and to one that starts later
    Given a quarantine in 3 processes
    When each quarantine sees one crash under "system letter", 700 ms apart, and they exchange their news
    Then every quarantine holds back "system letter"
    And a quarantine that starts later holds back "system letter" once it has a snapshot

  Scenario: A process without traffic of its own does not blame a part that another process knows as sound
    Given a quarantine in 3 processes
    When a quarantine sees 6 crashes under "system", 700 ms apart, while another one sees "system" answered, and they exchange their news
    Then no quarantine holds back "system"

  Scenario: Evidence expires in all processes although they repeat it to each other
    Given a quarantine in 3 processes
    When each quarantine sees one crash under "system letter", 700 ms apart, and they exchange their news
    And the quarantines exchange snapshots every 20 s until their evidence expires
    Then no quarantine remembers a crash

  Scenario: With an accident between any two of its crashes, a bad part is held back after three, and no sound prompt ever is
    Then the quarantine finds the bad part in each of 300 random schedules

  # Guards against a bound on the parts of a prompt that drops the one to blame (review/8): 16 parts were recorded.
  Scenario Outline: A bad part behind <shared> shared parts is held back, and sound prompts are not
    Then a bad part behind <shared> parts that sound prompts share is held back after 3 crashes, and no sound prompt is

    Examples:
      | shared |
      | 15     |
      | 16     |
      | 17     |
      | 40     |
      | 400    |
      | 1000   |

  Scenario Outline: A bad part behind <shared> parts of one conversation that no engine has answered is held back
    Then a bad part behind <shared> parts that no engine has answered is held back after 3 crashes

    Examples:
      | shared |
      | 17     |
      | 1000   |

  # Guards against accidents that push out the evidence on bad parts, and against bad parts that push out each other's.
  Scenario: Ten bad parts stay held back when a rack fails under prompts that have just begun
    Then 10 bad parts behind 17 shared parts are held back, also after 640 streams have broken at 64 engines at once

  # Guards against sound parts that are forgotten within seconds, and then look guilty.
  Scenario: The parts of many conversations stay sound while they are answered
    Then of 200 conversations of 100 parts that are answered within 4 s, none is held back after 5 crashes under a part that 3 of them share

  # Guards against evidence that is dropped and not counted.
  Scenario: What a quarantine drops is counted
    Then a quarantine that sees 300 crashes under prompts of 5 parts counts 44 dropped crashes
    And a quarantine that sees 40000 sound parts within a second counts 7232 dropped sound parts

  # Guards against a process that stands still while it searches for the parts to blame.
  Scenario: A search among many crashes under random parts ends in time
    Then a crash after 255 crashes under prompts of 100 random parts of 1500 is recorded within 1000 ms
