Feature: The instances of a zone know which of the others run

  # Guards against sound instances that were taken for lost, with all of their zone at once: who got
  # no heartbeat for a few beats heard of nobody, though it sent its own.
  Scenario: No instance that runs is taken for lost
    Given 20 settled fleets of 7 instances in a zone, which are lost after 5 heartbeats
    When 20 seconds of virtual time pass
    Then no instance was taken for lost

  # Guards against writes of the electorate for each of several instances that end together.
  Scenario: The loss of several instances at once is one change of the electorate, in each of 20 histories
    Given 20 settled fleets of 7 instances in a zone, which are lost after 4 heartbeats
    When the last 3 instances of each end 0.6 seconds apart
    And 10 seconds of virtual time pass
    Then each of the others wrote its electorate once, and it consists of them
