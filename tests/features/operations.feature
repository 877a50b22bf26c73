Feature: A request that must not be repeated runs at most once
  Decisions of several instances in virtual time; the upstream's own count is the judge.

  Scenario Outline: A repeated key gets the first answer and does not run again
    Given an order service behind 2 instances in each of 2 regions
    When an order with a <kind> key is sent to instance 1
    And 2 seconds pass there
    And the same order is sent to instance <second>
    And 2 seconds pass there
    Then the order ran 1 time
    And the last sender got the first answer again

    Examples:
      | kind   | second |
      | minted | 1      |
      | minted | 2      |
      | chosen | 1      |
      | chosen | 2      |
      | chosen | 4      |

  Scenario Outline: A repeated key with another body is refused
    Given an order service behind 2 instances in each of 2 regions
    When an order with a <kind> key is sent to instance 1
    And 2 seconds pass there
    And another order with the same key is sent to instance <second>
    And 2 seconds pass there
    Then the order ran 1 time
    And the last sender is refused with operation-mismatch

    Examples:
      | kind   | second |
      | minted | 1      |
      | minted | 2      |
      | chosen | 2      |

  Scenario Outline: Retries through all instances at the same moment
    Given an order service behind 2 instances in each of 2 regions
    When an order with a <kind> key is sent to all instances at once
    And 6 seconds pass there
    Then the order ran 1 time
    And every refusal is true

    Examples:
      | kind   |
      | minted |
      | chosen |

  Scenario Outline: The instance crashes at each step, and the caller tries again elsewhere
    Given an order service behind 2 instances in each of 2 regions
    When an order with a <kind> key is sent to instance 1
    And instance 1 crashes after <seconds> seconds
    And 3 seconds pass there
    And the same order is sent to instance 2
    And 6 seconds pass there
    Then the order ran <runs>
    And every refusal is true

    Examples:
      | kind   | seconds | runs           |
      | chosen | 0.0005  | at most 1 time |
      | chosen | 0.0015  | at most 1 time |
      | chosen | 0.0030  | 1 time         |
      | chosen | 0.05    | 1 time         |
      | chosen | 0.12    | 1 time         |
      | chosen | 0.16    | 1 time         |
      | chosen | 0.50    | 1 time         |
      | minted | 0.0005  | at most 1 time |
      | minted | 0.05    | 1 time         |
      | minted | 0.12    | 1 time         |
      | minted | 0.50    | 1 time         |

  Scenario: The store's answer to the claim is lost
    Given an order service behind 2 instances in each of 2 regions
    When the store's answers to instance 1 are lost for 1 second
    And an order with a chosen key is sent to instance 1
    And 6 seconds pass there
    And the same order is sent to instance 2
    And 3 seconds pass there
    Then the order ran at most 1 time
    And every refusal is true

  Scenario: Without the store, chosen keys are refused and minted ones work
    Given an order service behind 2 instances in each of 2 regions
    When the store goes down
    And an order with a chosen key is sent to instance 1
    And 6 seconds pass there
    Then the last sender is refused with claim-unavailable
    And the refusal says not-run and that earlier requests with the key are unknown
    When a new order with a minted key is sent to instance 1
    And 2 seconds pass there
    Then the last sender got an answer

  Scenario: The owner of a minted key is gone
    Given an order service behind 2 instances in each of 2 regions
    When an order with a minted key is sent to instance 1
    And instance 1 crashes after 0.5 seconds
    And 20 seconds pass there
    And the same order is sent to instance 3
    And 6 seconds pass there
    Then the order ran 1 time
    And the last sender is told may-have-run

  Scenario: The owner is paused past its lease while it runs the order
    Given an order service behind 2 instances in each of 2 regions
    When an order with a chosen key is sent to instance 1
    And instance 1 is frozen for 12 seconds
    And 6 seconds pass there
    And the same order is sent to instance 2
    And 20 seconds pass there
    Then the order ran 1 time
    And every refusal is true

  Scenario Outline: The gateway never repeats once a byte may have reached the upstream
    Given an order service behind 2 instances in each of 2 regions
    When the next attempts meet <faults>
    And an order without a key is sent to instance 1
    And 3 seconds pass there
    Then the upstream received <received> attempts
    And the last sender is told <outcome>

    Examples:
      | faults                 | received | outcome      |
      | refuse refuse refuse   | 0        | not-run      |
      | refuse                 | 1        | an answer    |
      | break-before           | 1        | may-have-run |
      | break-after            | 1        | may-have-run |
      | refuse break-after     | 1        | may-have-run |

  Scenario: A model request is tried elsewhere after a break, within the budget
    Given an order service behind 2 instances in each of 2 regions
    When the next attempts meet break-before
    And a model request is sent to instance 1
    And 3 seconds pass there
    Then the upstream received 2 attempts
    And the last sender is told an answer

  Scenario Outline: Old keys are refused, never run again
    Given an order service behind 2 instances in each of 2 regions
    When an order with a <kind> key that is <age> seconds old is sent to instance 1
    And 2 seconds pass there
    Then the order ran 0 times
    And the last sender is refused with <code>

    Examples:
      | kind   | age   | code              |
      | chosen | 3700  | operation-expired |
      | chosen | -900  | operation-invalid |
      | minted | 3700  | operation-expired |

  Scenario: A key signed for another client account, or with another instance's name, is refused
    Given an order service behind 2 instances in each of 2 regions
    When an order with a minted key of another account is sent to instance 1
    And 2 seconds pass there
    Then the last sender is refused with operation-invalid
    When an order with a minted key whose instance was changed is sent to instance 1
    And 2 seconds pass there
    Then the last sender is refused with operation-invalid
    And the order ran 0 times

  Scenario: Random histories of orders, repeats and faults
    When 25 random histories of orders are played
    Then no order ran twice
    And every refusal was true
