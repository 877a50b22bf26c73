Feature: An accepted configuration is in force everywhere within 4 s and never reverts

  Scenario Outline: A change is in force everywhere within 4 s, whatever happens on the way
    Given a fleet of 2 instances in each of 3 regions
    When <trouble>
    And an operator changes the rate to 777 through instance 2
    Then within 4 seconds every instance that has a path knows rate 777
    And no instance ever went back to an older version

    Examples:
      | trouble                                           |
      | nothing is wrong                                  |
      | all watches go silent                             |
      | the watcher of the first zone crashes             |
      | the watcher of the first zone is frozen for 20 s  |
      | region salalah-a loses its way to the store       |
      | region salalah-a loses its way to sohar-a         |
      | a tenth of all messages is lost                   |

  Scenario: The store's answer to an operator's write is lost
    Given a fleet of 2 instances in each of 3 regions
    When the store's answers to instance 2 are lost for 3 seconds
    And an operator changes the rate to 777 through instance 2
    And 12 seconds pass for the configuration
    Then the operator is told that the write was done
    And the store holds exactly one newer version

  Scenario: Operators race
    Given a fleet of 2 instances in each of 3 regions
    When 5 operators who saw the same version change the rate through different instances
    And 6 seconds pass for the configuration
    Then exactly one write was accepted and the others got resource-stale with the current version
    And all instances hold the accepted rate

  Scenario: The store goes down and an operator writes
    Given a fleet of 2 instances in each of 3 regions
    When the store is down for the configuration
    And an operator changes the rate to 777 through instance 2
    And 30 seconds pass for the configuration
    Then the operator is told that the outcome is not known
    And no instance ever went back to an older version

  Scenario: The store is set back to an older state
    Given a fleet of 2 instances in each of 3 regions
    When the store's state is saved
    And an operator changes the rate to 777 through instance 2
    And 3 seconds pass for the configuration
    And the store is set back to the saved state
    And 15 seconds pass for the configuration
    Then every instance knows rate 777
    And the store holds rate 777 again
    And no instance ever went back to an older version
    When an operator changes the rate to 888 through instance 3
    Then within 4 seconds every instance that has a path knows rate 888

  Scenario: An instance that starts during an outage takes the configuration from a peer
    Given a fleet of 2 instances in each of 3 regions
    When the store is down for the configuration
    And an instance starts in sohar-a
    And 6 seconds pass for the configuration
    Then the new instance is ready and knows what the others know

  Scenario: Entries in any order and number end in the same catalog
    When random orders of entries, repeated and shuffled, are merged 200 times
    Then all catalogs are equal and no version ever went down

  Scenario: A deleted resource does not come back from a stale read
    Given a fleet of 2 instances in each of 3 regions
    When an operator deletes the key through instance 1
    And 3 seconds pass for the configuration
    And an instance hears the old key again from a stale read
    Then no instance accepts the key

  Scenario: A withdrawn key stops everywhere within seconds
    Given a fleet of 2 instances in each of 3 regions
    When an operator withdraws the key through instance 1
    Then within 4 seconds no instance accepts the key

  Scenario Outline: A withdrawn key in a region that is cut off follows the operator's choice
    Given a fleet of 2 instances in each of 3 regions that <choice> keys when cut off
    When region salalah-a is cut off from everything
    And an operator withdraws the key through instance 1
    And 15 seconds pass for the configuration
    Then instances outside salalah-a refuse the key
    And instances in salalah-a <outcome> the key
    When the ways heal
    And 6 seconds pass for the configuration
    Then no instance accepts the key

    Examples:
      | choice | outcome |
      | serve  | accept  |
      | refuse | refuse  |
