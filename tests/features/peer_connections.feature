Feature: Connections between instances

  Scenario: A connection that a partition has cut is not used again after it
    Given a peer that listens
    When an instance connects to the peer
    Then the connection closes once sent bytes stay unacknowledged for 2 seconds
