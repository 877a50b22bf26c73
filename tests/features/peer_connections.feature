Feature: Connections between instances

  Scenario: A connection that a partition has cut is not used again after it
    Given a peer that listens
    When an instance connects to the peer
    Then the connection closes once sent bytes stay unacknowledged for 2 seconds

  # Guards against requests that end because many other instances are called (LOST).
  Scenario: A connection with an open call is kept, however many others are opened
    Given 70 peers that answer slowly
    When an instance calls ten of them, and the others meanwhile
    Then each call gets its reply
    And at most 64 connections are kept after another call
