Feature: The store client against the published JSON form of the etcd v3 API
  The store client task talks to the key-value stand-in over a real connection.

  Scenario Outline: Each call has its specified result
    Given a key-value stand-in and a store client
    When the client does <calls>
    Then the last reply is <reply>

    Examples:
      | calls                                     | reply                  |
      | put a=1, read a                           | a=1                    |
      | read nothing                              | nothing                |
      | put a=1, put b=2, read prefix             | a=1 b=2                |
      | create a=1, create a=2                    | not applied, a=1       |
      | create a=1, swap a=2 at its revision      | applied                |
      | create a=1, swap a=2 at an old revision   | not applied, a=1       |
      | create a=1, create many a=2 b=2           | not applied, applied   |
      | create a=1, create and read back many a=2 b=2 | not applied, applied |
      | swap many a=2 that is gone                | not applied            |
      | lease, put a=1 on it, revoke, read a      | nothing                |
      | lease, renew                              | alive                  |
      | renew an unknown lease                    | gone                   |

  Scenario Outline: Each fault is reported with whether the call may have taken effect
    Given a key-value stand-in and a store client
    When the stand-in has the fault <fault>
    And the client creates a=1
    Then the reply is a failure that <may> have taken effect
    And after the fault is removed the store <holds> a=1

    Examples:
      | fault          | may    | holds        |
      | lose_answers=1 | may    | holds        |
      | down=true      | may    | doesn't hold |
      | delay_s=3      | may    | holds        |
      | calls_per_s=1  | may    | doesn't hold |
      | not listening  | can't  | doesn't hold |

  Scenario: A watch delivers changes in order and reports when it is lost
    Given a key-value stand-in and a store client
    When a watch begins and a=1, a=2 and b=1 are written
    Then the watch delivered a=1, a=2 and b=1 in this order
    When the stand-in is restored to an older state
    Then the watch reports that it is lost
