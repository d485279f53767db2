Feature: Whole responses that clients do not read

  Scenario: The largest response that is not read is broken off when all together are too long
    Given a gateway that may hold 1000000 bytes
    When whole responses of "300000, 500000, 60000, 400000" bytes are sent that nobody reads
    Then the gateway has broken off the responses of "500000" bytes
    When the client of the response of 300000 bytes has read it
    Then the gateway holds 400000 bytes
