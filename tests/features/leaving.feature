Feature: A report that an upstream is leaving reaches all instances of the region

  Scenario Outline: All instances of the region know within 1.5 seconds of the first report
    Given a settled fleet of 3 regions with an instance in each of 3 zones
    When the load report that an upstream is leaving reaches one instance <network>
    And 1.5 seconds of virtual time pass
    Then every instance of the region treats the upstream as leaving, in each of 20 histories

    Examples:
      | network                                      |
      | while all messages pass                      |
      | while all messages are lost for 0.5 seconds  |

  Scenario: Every instance knows a serving one of each region half a second after all are ready
    Given 20 fleets of 3 regions with 2 instances each that start together
    When all instances are ready and 0.5 seconds of virtual time pass
    Then every instance knows a serving instance of each region, in each of 20 histories
