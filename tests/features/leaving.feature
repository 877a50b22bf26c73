Feature: Every instance of a region hears soon that an upstream leaves

  Scenario Outline: One instance hears it, and each of its region knows within 1.5 seconds
    Given a settled fleet of 3 regions with an instance in each of 3 zones
    When the load report that an upstream leaves reaches one instance <network>
    And 1.5 seconds of virtual time pass
    Then every instance of the region gives it no new work, in each of 20 histories

    Examples:
      | network                           |
      | while all messages pass           |
      | while the first news of it is lost |
