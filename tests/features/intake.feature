Feature: Memory and connections for callers are granted within the limits of the machine

  # Guards against one holding that takes what the others need (LOST).
  Scenario: What has made no progress longest is given up first
    Given a budget with room for 10000 bytes of bodies
    And an upload of 3000 bytes from a at 0 seconds
    And an upload of 3000 bytes from b at 1 seconds
    And an upload of 3000 bytes from c at 3 seconds
    When an upload from d asks for 6000 bytes at 4 seconds
    Then the uploads from a and b are given up, and it gets its bytes

  Scenario: Uploads that make progress are not given up
    Given a budget with room for 10000 bytes of bodies
    And an upload of 5000 bytes from a at 3 seconds
    And an upload of 5000 bytes from b at 3 seconds
    When an upload from d asks for 4000 bytes at 4 seconds
    Then no upload is given up, and it gets no bytes

  Scenario: A body whose request runs is not given up
    Given a budget with room for 10000 bytes of bodies
    And a running request with 7000 bytes from a at 0 seconds
    When an upload from d asks for 4000 bytes at 60 seconds
    Then no upload is given up, and it gets no bytes

  Scenario: One address can't take the whole budget
    Given a budget with room for 10000 bytes of bodies
    And a running request with 7000 bytes from a at 0 seconds
    When an upload from a asks for 1000 bytes at 1 seconds
    Then no upload is given up, and it gets no bytes

  # Guards against a caller who ends the uploads of others while there is memory (LOST).
  Scenario: An address at its share ends no upload of another one
    Given a budget with room for 10000 bytes of bodies
    And an upload of 1000 bytes from b at 0 seconds
    And a running request with 7000 bytes from a at 0 seconds
    When an upload from a asks for 1000 bytes at 10 seconds
    Then no upload is given up, and it gets no bytes

  Scenario: A single request gets what it needs
    Given a budget with room for 10000 bytes of bodies
    When an upload from a asks for 40000 bytes at 1 seconds
    Then no upload is given up, and it gets its bytes

  Scenario: An upload that sends a byte now and then counts as stalled
    Given a budget with room for 10000 bytes of bodies
    And an upload of 7000 bytes from a at 0 seconds
    And the upload from a gets 1 byte each second until 20 seconds
    When an upload from d asks for 4000 bytes at 20 seconds
    Then the uploads from a are given up, and it gets its bytes

  Scenario: The connection that is idle longest makes room for another
    Given room for 2 connections
    When connections a, b and c open, and a has a request in hand
    Then only b is closed

  Scenario: An upload that waits goes on when memory is given back
    Given a budget with room for 10000 bytes of bodies
    And a running request with 7000 bytes from a at 0 seconds
    When an upload from d waits for 4000 bytes, and a is answered
    Then it gets its bytes

  Scenario: An upload that waits in vain is refused, and has not run
    Given a budget with room for 10000 bytes of bodies
    And a running request with 7000 bytes from a at 0 seconds
    When an upload from d waits for 4000 bytes in vain
    Then it is refused as overloaded, with a time to come again

  # Guards against answers that take all memory, so that a new one finds none (LOST).
  Scenario: However many answers wait for their callers, a new one finds room
    Given a budget of 60000000 bytes
    When 100 answers take all that they can, in pieces of 16000 bytes
    Then each of them has at least 16000 bytes
    And an answer to d gets its first 60000 bytes, and none is given up

  Scenario: A single answer is fetched ahead of its caller
    Given a budget of 60000000 bytes
    When 1 answers take all that they can, in pieces of 16000 bytes
    Then each of them has at least 4000000 bytes

  # Guards against answers that leave no memory for bodies (LOST).
  Scenario: Bodies find room beside answers
    Given a budget of 60000000 bytes
    When 100 answers take all that they can, in pieces of 16000 bytes
    Then an upload from d gets 12000000 bytes, and none is given up

  # Guards against new answers that wait for callers who read nothing (LOST).
  # Guards against requests that run and wait for each other's memory for their answers.
  Scenario Outline: However many bodies are held, an answer finds room
    Given a budget of 60000000 bytes
    When 100 addresses upload <size> bytes each as far as they may, and their requests run
    Then an answer to d gets its first <first> bytes

    Examples:
      | size    | first |
      | 3000000 | 14    |
      | 3000000 | 65536 |
      | 599000  | 65537 |

  Scenario: Large answers that wait for their callers leave room for small ones
    Given a budget of 60000000 bytes
    When 100 addresses upload 500000 bytes each as far as they may, and their requests run
    And answers of 106000 bytes to as many others begin as may
    Then an answer to d gets its first 65536 bytes

  Scenario: The answer that was not read for longest is given up first
    Given a budget of 2000000 bytes
    And an answer of 100000 bytes to a that waits since 0 seconds
    And an answer of 100000 bytes to b that waits since 1 seconds
    When an answer to d asks for its first 150000 bytes at 4 seconds
    Then the uploads from a are given up, and it gets its bytes

  Scenario: The caller that reads most slowly is given up before others
    Given a budget of 2000000 bytes
    And an answer of 100000 bytes to a that waits since 0 seconds
    And an answer of 100000 bytes to b that waits since 0 seconds
    And a reads 3000 bytes each second, and b 9000, until 6 seconds
    When an answer to d asks for its first 150000 bytes at 6 seconds
    Then the uploads from a are given up, and it gets its bytes

  Scenario: An answer whose caller reads fast enough is not given up
    Given a budget of 2000000 bytes
    And an answer of 100000 bytes to a that waits since 0 seconds
    And an answer of 100000 bytes to b that waits since 0 seconds
    And a reads 20000 bytes each second, and b 18000, until 4 seconds
    When an answer to d asks for its first 150000 bytes at 4 seconds
    Then no upload is given up, and it gets no bytes

  Scenario: An answer gives nobody up for more than its first bytes
    Given a budget of 2000000 bytes
    And an answer of 100000 bytes to a that waits since 0 seconds
    And an answer of 60000 bytes to d that waits since 9 seconds
    When the answer to d asks for 300000 bytes more at 10 seconds
    Then no upload is given up, and it gets no bytes

  # Guards against slow callers whose answers end each other in turn (LOST).
  Scenario: An answer that is read slowly ends no other
    Given a budget of 2000000 bytes
    And an answer of 100000 bytes to a that waits since 0 seconds
    And an answer of 60000 bytes to d that waits since 0 seconds
    And d has read 60000 bytes by 8 seconds, and waits no longer
    When the answer to d asks for 1200000 bytes more at 10 seconds
    Then no upload is given up, and it gets no bytes

  Scenario: A body is granted at the cost of an answer that is not read
    Given a budget of 800000 bytes
    And an answer of 100000 bytes to a that waits since 0 seconds
    When an upload from d asks for 390000 bytes at 4 seconds
    Then the uploads from a are given up, and it gets its bytes

  # Guards against a crowd of uploads that ends the answers of all slow callers (LOST).
  Scenario: Beyond their part of the budget, bodies end no answers
    Given a budget of 800000 bytes
    And an answer of 100000 bytes to a that waits since 0 seconds
    When an upload from d asks for 410000 bytes at 4 seconds
    Then no upload is given up, and it gets no bytes

  # Guards against answers that find no memory, as bodies that stall hold all of it (LOST).
  Scenario: An answer is granted at the cost of an upload that stalls
    Given a budget of 2000000 bytes
    And an upload of 700000 bytes from a at 0 seconds
    And an upload of 780000 bytes from b at 1 seconds
    When an answer to d asks for its first 70000 bytes at 4 seconds
    Then the uploads from a are given up, and it gets its bytes

  # Guards against bodies of requests with keys that count no longer once their callers have gone (LOST).
  Scenario Outline: A request that runs on without its caller counts until it ends
    Given room for 2 runs, one of an answer to a that waits since 3 seconds, and one of b
    When <what>, its request runs on, and d asks for a run at 4 seconds
    Then it is refused as overloaded, with a time to come again
    And what the request of b took is given back when it ends

    Examples:
      | what                        |
      | b goes away                 |
      | the answer to b is given up |

  # Guards against an instance without descriptors, as each request takes one more for its upstream.
  Scenario: One run too many ends an answer that is not read
    Given room for 2 runs, one of an answer to a that waits since 0 seconds, and one of b
    When d asks for a run at 4 seconds
    Then the uploads from a are given up, and it gets its bytes

  Scenario: One run too many is refused while all others are read
    Given room for 2 runs, one of an answer to a that waits since 3 seconds, and one of b
    When d asks for a run at 4 seconds
    Then it is refused as overloaded, with a time to come again

  Scenario: A run whose upstream is done makes room for another
    Given room for 2 runs, one of an answer to a that waits since 3 seconds, and one of b
    When the upstream of b is done, and d asks for a run at 4 seconds
    Then no upload is given up, and it gets its bytes
