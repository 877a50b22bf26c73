Feature: Never two orders at work on one engine
  Orders have fencing numbers; engines that ignore them are protected by time.

  Scenario Outline: An order is carried out, and the next one gets a higher number
    Given an engine that <checks> fencing numbers behind 3 instances
    When instance 1 gives an order and 5 seconds pass
    And instance 2 gives an order and 5 seconds pass
    Then both orders were carried out with growing numbers
    And no two orders were at work at once

    Examples:
      | checks  |
      | checks  |
      | ignores |

  Scenario Outline: Two operators race through two instances
    Given an engine that <checks> fencing numbers behind 3 instances
    When instances 1 and 2 give an order at the same moment
    And 20 seconds pass for the engine
    Then one order was carried out and the other was refused with not-run
    And no two orders were at work at once

    Examples:
      | checks  |
      | checks  |
      | ignores |

  Scenario Outline: The orderer crashes or freezes while its order is at work
    Given an engine that <checks> fencing numbers behind 3 instances
    When instance 1 gives an order and <trouble>
    And instance 2 gives orders until one is taken
    And 30 seconds pass for the engine
    Then no two orders were at work at once

    Examples:
      | checks  | trouble                                |
      | checks  | crashes 0.02 seconds later             |
      | ignores | crashes 0.02 seconds later             |
      | ignores | freezes for 20 seconds 0.02 later      |
      | ignores | freezes for 20 seconds 0.0012 later    |
      | ignores | loses the store 0.02 seconds later     |

  Scenario: The engine's answer is lost
    Given an engine that ignores fencing numbers behind 3 instances
    When the engine's answers are lost
    And instance 1 gives an order and 4 seconds pass
    Then the operator is told may-have-run
    When instance 2 gives orders until one is taken
    Then no two orders were at work at once
