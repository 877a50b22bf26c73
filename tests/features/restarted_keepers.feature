@moved_example
Feature: An order with a key runs once although the keeper of its key starts again
  Three instances in two regions as processes, with their stand-ins, as in examples/doors.

  # Guards against an order that runs again as the keeper of its key has forgotten it (TWICE).
  Scenario Outline: An order whose keeper ends, and starts again, runs once
    Given instances as processes, and services that take <run> seconds for an order
    When talleres sends an order with a key of <key> through cen-a-1, and <keeper> <ends> after 0.7 seconds
    And it sends the same order through all of them until <keeper> has started again and 2 seconds after
    Then the order ran at most once, or exactly once if an answer came
    And no repeat was told that its own id is in use

    Examples:
      | run | key     | keeper  | ends       |
      | 1.5 | cen-a-2 | cen-a-2 | is killed  |
      | 1.5 | cen-a-2 | cen-a-2 | is stopped |
      | 1.5 | its own | cen-a-1 | is killed  |
      | 1.5 | its own | cen-a-1 | is stopped |
      | 0.2 | cen-a-2 | cen-a-2 | is killed  |
      | 0.2 | its own | cen-a-1 | is killed  |
