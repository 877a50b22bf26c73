Feature: The platform's store comes back from an older copy, with revisions that are given out again
  In virtual time. What operators and upstreams wrote since the copy is lost, and written again later.

  Scenario: A version written under a revision that was used before is in force in time
    Given 6 running instances of a zone, and a copy of the store
    When configuration 2 is written
    And the zone runs for 1 seconds
    And the store comes back from the copy
    And the zone runs for 1 seconds
    And configuration 3 is written
    Then after 0.6 seconds configuration 3 is in force at every instance
    And no instance had an older configuration in force after a newer one

  Scenario: A version that the copy lacks stays in force, and is not missed when it is written again
    Given 6 running instances of a zone, and a copy of the store
    When configuration 2 is written
    And the zone runs for 1 seconds
    And the store comes back from the copy
    Then after 1 seconds configuration 2 is in force at every instance
    When configuration 2 is written
    And the zone runs for 6 seconds
    Then after 1 seconds configuration 2 is in force at every instance
    And no instance had an older configuration in force after a newer one

  Scenario: The store is not read and watched over and over after it came back
    Given 6 running instances of a zone, and a copy of the store
    When configurations 2 to 9 are written 0.1 seconds apart
    And the store comes back from the copy
    And the zone runs for 1 seconds
    Then the zone makes at most 60 calls in the next 8 seconds

  Scenario Outline: Changes are in force in time although <trouble> when the store comes back
    Given 6 running instances of a zone, and a copy of the store
    When configurations 2 to 6 are written 0.1 seconds apart
    And <trouble> when the store comes back from the copy
    And the zone runs for 2 seconds
    And configuration 7 is written
    Then after 1.5 seconds configuration 7 is in force at every instance that reaches the store
    And no instance had an older configuration in force after a newer one

    Examples:
      | trouble                                     |
      | many writes follow before anyone asks       |
      | one reader dies                             |
      | all readers die                             |
      | all datagrams of the readers are lost       |
      | a third of all datagrams is lost            |
      | one reader is cut off from the store        |
      | a new instance starts                       |

  Scenario: The store comes back from older copies twice
    Given 6 running instances of a zone, and a copy of the store
    When configurations 2 to 6 are written 0.1 seconds apart
    And the store comes back from the copy
    And the zone runs for 0.3 seconds
    And configuration 7 is written
    And the zone runs for 0.5 seconds
    And the store comes back from the copy
    And the zone runs for 1 seconds
    And configuration 8 is written
    Then after 0.6 seconds configuration 8 is in force at every instance
    And no instance had an older configuration in force after a newer one

  Scenario: A report of a reader that still knows the former store changes nothing
    Given 6 running instances of a zone, and a copy of the store
    When configurations 2 to 6 are written 0.1 seconds apart
    And one reader is cut off from the store
    And the store comes back from the copy
    And the zone runs for 4 seconds
    And configuration 7 is written
    Then after 1 seconds configuration 7 is in force at every instance that reaches the store

  Scenario Outline: An upstream that <left> since the copy is not used again
    Given 4 running instances of a zone
    And the upstream u1 is registered
    And a copy of the store
    When the upstream u1 <left> and <time> seconds pass
    And the store comes back from the copy
    And the zone runs for 1.5 seconds
    Then no instance uses the upstream u1
    When the entry of the upstream u1 lapses after 3 seconds
    And the zone runs for 6 seconds
    Then no instance uses the upstream u1

    Examples:
      | left                     | time |
      | says that it is leaving  | 1    |
      | is deleted               | 1    |
      | is deleted               | 5    |
      | starts again elsewhere   | 1    |

  Scenario: An upstream that registered since the copy is used on, and one that never returns is gone
    Given 4 running instances of a zone, and a copy of the store
    When the upstream u1 registers, with the zone running on
    And the store comes back from the copy
    And the zone runs for 1 seconds
    Then every instance knows the upstream u1
    When the zone runs for 6 seconds
    Then no instance uses the upstream u1
    When the upstream u1 registers, with the zone running on
    Then every instance knows the upstream u1

  Scenario: A live upstream whose deletion the copy undoes is used again in the end
    Given 4 running instances of a zone
    And the upstream u1 is registered
    And a copy of the store
    When the upstream u1 is deleted and 5 seconds pass
    And the store comes back from the copy
    And the zone runs for 8 seconds
    Then every instance knows the upstream u1

  Scenario: An evacuation that the copy lacks goes on, and ends when it is not written again
    Given 4 running instances of a zone, and a copy of the store
    When the zone east-a is evacuated, with the zone running on
    And the store comes back from the copy
    And the zone runs for 1 seconds
    Then every instance holds the zone east-a for evacuated
    When the zone runs for 8 seconds
    Then no instance holds the zone east-a for evacuated

  Scenario: An evacuation that was taken back since the copy does not begin again
    Given 4 running instances of a zone
    And the zone east-a is evacuated, with the zone running on
    And a copy of the store
    When the evacuation of the zone east-a is taken back, with the zone running on
    And the store comes back from the copy
    And the zone runs for 1 seconds
    Then no instance holds the zone east-a for evacuated

  Scenario: Instances are listed again, and no lease of another one is renewed or ended
    Given 4 running instances of a zone, and a copy of the store
    When instance 2 dies
    And instance 2 starts again
    And the zone runs for 2 seconds
    And the store comes back from the copy
    And the zone runs for 3 seconds
    Then every instance knows the present start of every other one
    When all leases that nobody renews end
    Then the store lists every instance under its present start
    When one reader begins to shut down
    And the zone runs for 1 seconds
    Then the store lists all other instances

  Scenario: An instance that has left is not named to callers, although the copy lists it
    Given 4 running instances of a zone, and a copy of the store
    When instance 2 shuts down and is gone for 40 seconds
    And the store comes back from the copy
    And the zone runs for 0.5 seconds
    Then no instance names instance 2 to callers
