Feature: A non-repeatable request runs at most once
  The decisions of several instances run in virtual time. The checks use the upstream's own count
  of runs.

  Scenario Outline: A repeated key gets the first answer again without another run
    Given an order service behind 2 instances in each of 2 regions
    When an order with a <kind> key is sent to instance 1
    And 2 seconds pass for the service
    And the same order is sent to instance <second>
    And 2 seconds pass for the service
    Then the order ran 1 time
    And the last sender got the first answer again

    Examples:
      | kind   | second |
      | minted | 1      |
      | minted | 2      |
      | chosen | 1      |
      | chosen | 2      |
      | chosen | 4      |

  Scenario Outline: A repeated key with a different body is refused
    Given an order service behind 2 instances in each of 2 regions
    When an order with a <kind> key is sent to instance 1
    And 2 seconds pass for the service
    And another order with the same key is sent to instance <second>
    And 2 seconds pass for the service
    Then the order ran 1 time
    And the last sender is refused with operation-mismatch

    Examples:
      | kind   | second |
      | minted | 1      |
      | minted | 2      |
      | chosen | 2      |

  Scenario Outline: Concurrent retries through all instances run once
    Given an order service behind 2 instances in each of 2 regions
    When an order with a <kind> key is sent to all instances at once
    And 6 seconds pass for the service
    Then the order ran 1 time
    And every refusal matches the runs of the upstream

    Examples:
      | kind   |
      | minted |
      | chosen |

  Scenario Outline: An instance crashes during an order, and the caller retries at another instance
    Given an order service behind 2 instances in each of 2 regions
    When an order with a <kind> key is sent to instance 1
    And instance 1 crashes after <seconds> seconds
    And 3 seconds pass for the service
    And the same order is sent to instance 2
    And 6 seconds pass for the service
    Then the order ran <runs>
    And every refusal matches the runs of the upstream

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
    And 6 seconds pass for the service
    And the same order is sent to instance 2
    And 3 seconds pass for the service
    Then the order ran at most 1 time
    And every refusal matches the runs of the upstream

  Scenario: Without the store, chosen keys are refused and minted keys work
    Given an order service behind 2 instances in each of 2 regions
    When the store goes down
    And an order with a chosen key is sent to instance 1
    And 6 seconds pass for the service
    Then the last sender is refused with claim-unavailable
    And the refusal has run status not-run and operation status unknown
    When a new order with a minted key is sent to instance 1
    And 2 seconds pass for the service
    Then the last sender got an answer

  Scenario: The instance that owns a minted key has crashed
    Given an order service behind 2 instances in each of 2 regions
    When an order with a minted key is sent to instance 1
    And instance 1 crashes after 0.5 seconds
    And 20 seconds pass for the service
    And the same order is sent to instance 3
    And 6 seconds pass for the service
    Then the order ran 1 time
    And the last sender gets the outcome may-have-run

  Scenario: The owner of a key is paused beyond its lease while it runs the order
    Given an order service behind 2 instances in each of 2 regions
    When an order with a chosen key is sent to instance 1
    And instance 1 is frozen for 12 seconds
    And 6 seconds pass for the service
    And the same order is sent to instance 2
    And 20 seconds pass for the service
    Then the order ran 1 time
    And every refusal matches the runs of the upstream

  Scenario Outline: The gateway never retries an order once a byte may have reached the upstream
    Given an order service behind 2 instances in each of 2 regions
    When the next attempts have the faults <faults>
    And an order without a key is sent to instance 1
    And 3 seconds pass for the service
    Then the upstream received <received> attempts
    And the last sender gets the outcome <outcome>

    Examples:
      | faults                 | received | outcome      |
      | refuse refuse refuse   | 0        | not-run      |
      | refuse                 | 1        | an answer    |
      | break-before           | 1        | may-have-run |
      | break-after            | 1        | may-have-run |
      | refuse break-after     | 1        | may-have-run |

  Scenario: A model request is retried after a broken connection, within the retry budget
    Given an order service behind 2 instances in each of 2 regions
    When the next attempts have the faults break-before
    And a model request is sent to instance 1
    And 3 seconds pass for the service
    Then the upstream received 2 attempts
    And the last sender gets the outcome an answer

  Scenario Outline: Expired keys and keys from the future are refused without a run
    Given an order service behind 2 instances in each of 2 regions
    When an order with a <kind> key that is <age> seconds old is sent to instance 1
    And 2 seconds pass for the service
    Then the order ran 0 times
    And the last sender is refused with <code>

    Examples:
      | kind   | age   | code              |
      | chosen | 3700  | operation-expired |
      | chosen | -900  | operation-invalid |
      | minted | 3700  | operation-expired |

  Scenario: A minted key of another client account or with a changed instance name is refused
    Given an order service behind 2 instances in each of 2 regions
    When an order with a minted key of another account is sent to instance 1
    And 2 seconds pass for the service
    Then the last sender is refused with operation-invalid
    When an order with a minted key whose instance was changed is sent to instance 1
    And 2 seconds pass for the service
    Then the last sender is refused with operation-invalid
    And the order ran 0 times

  Scenario: Orders run at most once in random histories of orders, retries and faults
    When 25 random histories of orders are played
    Then no order ran twice
    And every refusal matched the runs of the upstream

  Scenario: Orders run at most once although their requests end at any moment
    When 10 random histories of orders are played, half of which end at any moment
    Then no order ran twice
    And every refusal matched the runs of the upstream
