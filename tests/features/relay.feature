Feature: A few instances of a zone watch the store and tell the others of its changes
  In virtual time, with a store that counts calls and datagrams that can be lost.

  Scenario: Only two instances of a zone watch the store, however many there are
    Given 12 running instances of a zone
    And 48 running instances of another site
    When 10 seconds pass at both sites
    Then 2 instances watch the store at each site
    And both make as many calls in 20 s of changes, but for lease renewals

  Scenario: A change reaches every instance of the zone without a further call of theirs
    Given 12 running instances of a zone
    When configuration 2 is written
    Then after 0.2 seconds configuration 2 is in force at every instance
    And 2 instances watch the store

  Scenario Outline: A change is in force in time although the readers fail
    Given 12 running instances of a zone
    When <failure>
    And configuration 2 is written
    Then after <bound> seconds configuration 2 is in force at every instance that can know it
    And no instance had an older configuration in force after a newer one

    Examples:
      | failure                                           | bound |
      | one reader dies                              | 0.2   |
      | all readers die                            | 1.0   |
      | one reader is cut off from the store              | 0.2   |
      | all readers are cut off from the store            | 2.4   |
      | all watches of the readers get no replies         | 2.4   |
      | all datagrams of the readers are lost             | 1.0   |
      | a third of all datagrams is lost                  | 1.6   |
      | one reader begins to shut down                    | 0.3   |
      | a new instance starts                             | 0.3   |

  Scenario: A configuration too large for a datagram is read by each instance
    Given 12 running instances of a zone
    When configuration 2 of 60000 bytes is written
    Then after 0.8 seconds configuration 2 is in force at every instance
    And the log has report-missed

  Scenario: Many configurations in quick succession end with the last one everywhere
    Given 12 running instances of a zone
    And a third of all datagrams is lost
    When configurations 2 to 40 are written 0.1 seconds apart
    Then after 2 seconds configuration 40 is in force at every instance
    And no instance had an older configuration in force after a newer one

  Scenario: Once reports are sound again, the others stop watching
    Given 12 running instances of a zone
    When all datagrams of the readers are lost
    And the zone runs for 3 seconds
    Then 12 instances watch the store
    When datagrams arrive again
    And the zone runs for 3 seconds
    Then 2 instances watch the store
    And the log has store-watched and store-relayed

  Scenario: A store without history is read again by those who need it
    Given 12 running instances of a zone
    When all datagrams of the readers are lost
    And configuration 2 is written
    And the store forgets its history
    Then after 1.5 seconds configuration 2 is in force at every instance

  Scenario Outline: A report that does not come from a reader of the zone changes nothing
    Given 3 running instances of a zone
    When instance 1 gets a report of configuration 2 from <sender>
    Then configuration 1 is in force at instance 1
    And the report is counted as dropped

    Examples:
      | sender                               |
      | an instance that it does not know    |
      | a former incarnation of instance 2   |
      | an instance of another zone          |

  Scenario: An upstream that left while an instance was down is not used after its restart
    Given 4 running instances of a zone
    And the upstream u1 is registered
    When instance 3 dies
    And the entry of the upstream u1 is deleted
    And the zone runs for 5 seconds
    And instance 3 starts again
    And the zone runs for 3 seconds
    Then no instance knows the upstream u1

  Scenario: Deletions reported late do not remove what was written after them
    Given 12 running instances of a zone
    And a third of all datagrams is lost
    When the upstream u1 registers and leaves 20 times in quick succession and registers again
    And the zone runs for 2 seconds
    Then every instance knows the upstream u1

  Scenario Outline: Reports count for what they are although the clocks of instances go differently
    Given a sender whose clock goes <drift> in a day
    When it reports every 10 seconds for a day, and one report in 50 is 3 seconds late
    Then the time of each report is told within 0.1 seconds

    Examples:
      | drift          |
      | 8 seconds fast |
      | 8 seconds slow |

  Scenario: A report that doesn't tell when it was sent shows nothing of the present
    Given a sender whose clock goes 0 seconds fast in a day
    Then a report of it without a time counts as of no time
