Feature: Fitted slopes
  Scenario: A fit finds the line and its error
    Then the slope fit of "0:1 1:3 2:5" is 2 with an error of 0 and an intercept of 1
    And the slope fit of "0:0 1:2 2:1 3:3" is 0.8 with an error of 0.424 and an intercept of 0.3

  Scenario: The median of the rounds drops an outlier
    Then the slope medians of "1:5 1:4 1:99 2:7 2:8 2:6" are "1:5 2:7"
