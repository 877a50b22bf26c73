Feature: An answer runs ahead of its caller as far as memory and its length allow

  # Guards against an upstream that is kept busy by a caller that reads slowly (LOST).
  Scenario Outline: What is buffered of an answer that nobody reads
    Given an answer of <length>, on a machine with 400 MB
    When its upstream sends 6000000 bytes in pieces of <piece> bytes, and nobody reads
    Then between <least> and <most> bytes are buffered

    Examples:
      | length         | piece | least   | most    |
      | unknown length | 30000 | 90000   | 160000  |
      | 3000000 bytes  | 30000 | 2900000 | 3100000 |
      | unknown length | 50    | 100000  | 140000  |

  # Guards against an answer that waits for memory which its own beginning takes (LOST).
  Scenario: What is held back for the caller goes out when there is no memory for more
    Given an answer of unknown length, on a machine whose memory others take
    When its upstream sends 200000 bytes in pieces of 30000 bytes, and nobody reads
    Then the last part that can be read is a pause
    And the answer goes on once the others have ended

  Scenario: An answer that is dropped gives its memory back
    Given an answer of 3000000 bytes, on a machine with 400 MB
    When its upstream sends 3000000 bytes in pieces of 30000 bytes, and nobody reads
    And the attempt is given up
    Then nothing of it is held any more

  Scenario: Events keep their ids when they are joined
    Given an answer of unknown length, on a machine with 400 MB
    When its upstream sends 3 events, and nobody reads
    Then one part has all of them, with the id of the last one

  # Guards against bodies that stay in memory until cycles are collected (LOST).
  Scenario: A request that has ended is freed without a collection of garbage
    When a request is refused while no garbage is collected
    Then its body is in memory no more
