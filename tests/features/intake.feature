Feature: Memory and connections for callers are granted within the limits of the machine

  # Guards against one holding that takes what the others need (LOST).
  Scenario: What has made no progress longest is given up first
    Given a budget of 10000 bytes
    And an upload of 3000 bytes from a at 0 seconds
    And an upload of 3000 bytes from b at 1 seconds
    And an upload of 3000 bytes from c at 3 seconds
    When an upload from d asks for 6000 bytes at 4 seconds
    Then the uploads from a and b are given up, and it gets its bytes

  Scenario: Uploads that make progress are not given up
    Given a budget of 10000 bytes
    And an upload of 5000 bytes from a at 3 seconds
    And an upload of 5000 bytes from b at 3 seconds
    When an upload from d asks for 4000 bytes at 4 seconds
    Then no upload is given up, and it gets no bytes

  Scenario: A body whose request runs is not given up
    Given a budget of 10000 bytes
    And a running request with 7000 bytes from a at 0 seconds
    When an upload from d asks for 4000 bytes at 60 seconds
    Then no upload is given up, and it gets no bytes

  Scenario: One address can't take the whole budget
    Given a budget of 10000 bytes
    And a running request with 7000 bytes from a at 0 seconds
    When an upload from a asks for 1000 bytes at 1 seconds
    Then no upload is given up, and it gets no bytes

  # Guards against a caller who ends the uploads of others while there is memory (LOST).
  Scenario: An address at its share ends no upload of another one
    Given a budget of 10000 bytes
    And an upload of 1000 bytes from b at 0 seconds
    And a running request with 7000 bytes from a at 0 seconds
    When an upload from a asks for 1000 bytes at 10 seconds
    Then no upload is given up, and it gets no bytes

  Scenario: A single request gets what it needs
    Given a budget of 10000 bytes
    When an upload from a asks for 40000 bytes at 1 seconds
    Then no upload is given up, and it gets its bytes

  Scenario: An upload that sends a byte now and then counts as stalled
    Given a budget of 10000 bytes
    And an upload of 7000 bytes from a at 0 seconds
    And the upload from a gets 1 byte each second until 20 seconds
    When an upload from d asks for 4000 bytes at 20 seconds
    Then the uploads from a are given up, and it gets its bytes

  Scenario: The connection that is idle longest makes room for another
    Given room for 2 connections
    When connections a, b and c open, and a has a request in hand
    Then only b is closed

  Scenario: An upload that waits goes on when memory is given back
    Given a budget of 10000 bytes
    And a running request with 7000 bytes from a at 0 seconds
    When an upload from d waits for 4000 bytes, and a is answered
    Then it gets its bytes

  Scenario: An upload that waits in vain is refused, and has not run
    Given a budget of 10000 bytes
    And a running request with 7000 bytes from a at 0 seconds
    When an upload from d waits for 4000 bytes in vain
    Then it is refused as overloaded, with a time to come again
