@deployment @doors
Feature: Orders run once although processes end
  Six instances in three regions with their stand-ins, as in examples/doors.

  # Guards against an order that runs again, or loses its answer, with the instance that forwarded it (TWICE).
  Scenario: An order whose forwarding instance dies runs once, and its answer is kept for the repeat
    Given services that need 1.5 seconds for an order
    When talleres sends an order with a key of cen-a-2 through cen-a-1, which is killed after 0.7 seconds
    And it sends the same order through cen-a-2 after 2 more seconds
    Then the order ran once, and its answer came with the repeat
