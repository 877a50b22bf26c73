Feature: An engine never executes two orders at once
  Orders carry fencing numbers. For engines that ignore these, instances wait until an earlier
  order must have ended.

  Scenario Outline: Consecutive orders are executed with increasing fencing numbers
    Given an engine that <checks> fencing numbers behind 3 instances
    When instance 1 sends an order and 5 seconds pass
    And instance 2 sends an order and 5 seconds pass
    Then both orders were executed with increasing fencing numbers
    And no two orders were executed at the same time

    Examples:
      | checks  |
      | checks  |
      | ignores |

  Scenario Outline: Two operators send orders through two instances at the same time
    Given an engine that <checks> fencing numbers behind 3 instances
    When instances 1 and 2 send an order at the same time
    And 20 seconds pass for the engine
    Then one order was executed and the other was refused with not-run
    And no two orders were executed at the same time

    Examples:
      | checks  |
      | checks  |
      | ignores |

  Scenario Outline: The instance that sent an order fails while the engine executes it
    Given an engine that <checks> fencing numbers behind 3 instances
    When instance 1 sends an order and <trouble>
    And instance 2 sends orders until one is accepted
    And 30 seconds pass for the engine
    Then no two orders were executed at the same time

    Examples:
      | checks  | trouble                                |
      | checks  | crashes 0.02 seconds later             |
      | ignores | crashes 0.02 seconds later             |
      | ignores | freezes for 20 seconds 0.02 later      |
      | ignores | freezes for 20 seconds 0.0012 later    |
      | ignores | loses the store 0.02 seconds later     |

  Scenario: The answer of the engine is lost
    Given an engine that ignores fencing numbers behind 3 instances
    When the engine's answers are lost
    And instance 1 sends an order and 4 seconds pass
    Then the operator receives may-have-run
    When instance 2 sends orders until one is accepted
    Then no two orders were executed at the same time
