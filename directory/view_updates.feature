Feature: What a process passes on of its view leaves no gap

  # Guards against a reader that has started after a deletion, or read everything anew, and passes on changes that lack it.
  Scenario: A follower has exactly what the store had at its revision, whatever its readers missed
    Then in 400 random histories of a store a follower of 2 readers that restart and lose the history never lacks or keeps an item

  Scenario: Changes of a reader that does not say how far back it knows are not taken, and a list of items that misses some is not given
    Then a follower takes no changes without the word that they are complete, and a reader that could not use an item gives no list
