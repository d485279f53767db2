Feature: The bench
  Scenario: A bench plan is the same for the same seed and has the planned rate and shares
    Then the bench plans the scenario "fleuve" twice alike with the seed 5, and differently with the seed 6
    And the bench plan over 60 s has the rate 30 and the free share 0.5 within 10 percent

  Scenario Outline: A bench counts an answer as good only when it is whole and met both targets
    Then the bench counts an answer with first token <first> ms, between tokens <between> ms, exact "<exact>" as "<verdict>"

    Examples:
      | first | between | exact | verdict |
      | 800   | 45      | yes   | good    |
      | 801   | 45      | yes   | bad     |
      | 800   | 46      | yes   | bad     |
      | 100   | 20      | no    | bad     |
