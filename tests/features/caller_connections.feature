Feature: A caller's connection is read only as far as its requests are answered

  # Guards against a caller that sends requests ahead and reads no answer (LOST).
  Scenario: Nothing is read while a request waits behind another
    Given a connection whose requests are not answered yet
    When 2 requests come one after another
    Then reading is paused
    When they are answered
    Then reading goes on, and 2 requests were answered

  Scenario: A head that comes in time is held and served
    Given a connection whose requests are not answered yet
    When a head comes in two parts, the second in time
    Then reading goes on, and 1 requests were answered
    And the head counted as held, and nothing is held any more

  Scenario: A head that takes too long closes its connection
    Given a connection whose requests are not answered yet
    When a head comes in two parts, the second too late
    Then the connection is closed without an answer
    And the head counted as held, and nothing is held any more

  Scenario: A slow but steady body is served
    Given a connection whose requests are not answered yet
    When a body comes in 2 parts, slower than a head may
    Then reading goes on, and 1 requests were answered

  # Guards against a connection that is closed as its body comes before its request is handled.
  Scenario: A body that comes at once with its head is not taken for a head
    Given a connection whose requests are not answered yet
    When a request with 400000 bytes comes before the server does anything else
    And they are answered
    Then reading goes on, and 1 requests were answered

  # Guards against an instance that stands still while it parses (LOST).
  Scenario Outline: Bodies in very small chunks are parsed in turns with other tasks
    Given <count> connections of one instance
    When a body in 10000 chunks of one byte comes on each at once
    Then at most 1000 chunks were parsed between two turns of other tasks

    Examples:
      | count |
      | 1     |
      | 20    |
