@alone
Feature: Callers that read slowly or not at all don't end an instance
  The bounds are those of the machines in the settings of the test. Memory counts with the bytes that
  the system holds for the sockets of the process.

  # Guards against an instance that runs out of memory for answers that nobody reads (LOST).
  Scenario Outline: A crowd that reads on the users' platform
    Given instances on the platform, on machines with 160 MB and 1000 descriptors
    And upstreams with 500 places and answers of 3000000 bytes, or 100 events of 30000 bytes
    When <count> callers from <addresses> addresses ask edge-east-1 for <path> and read <pace>
    Then edge-east-1 and edge-west-1 live within the memory and descriptors of their machines
    And none of the requests that were refused to the crowd has run
    And a request to /status/x at edge-east-1 is answered with 200

    Examples:
      | count | addresses | path      | pace    |
      | 150   | 1         | /status/x | slowly  |
      | 150   | 150       | /status/x | slowly  |
      | 150   | 1         | /status/x | nothing |
      | 150   | 1         | /away/x   | slowly  |
      | 150   | 150       | /away/x   | nothing |
      | 300   | 300       | /ask/x    | slowly  |
      | 300   | 1         | /ask/x    | nothing |
      | 600   | 300       | /ask/x    | nothing |

  # Guards against bytes to callers and bytes from them that each take what the other needs (LOST).
  Scenario Outline: Crowds that read and crowds that send, at once
    Given instances on the platform, on machines with 160 MB and 1000 descriptors
    And upstreams with 500 places and answers of 3000000 bytes, or 100 events of 30000 bytes
    When 100 callers from 100 addresses ask edge-east-1 for <path> and read slowly
    And 48 callers from 48 addresses send edge-east-1 <crowd> to <upload> and stay
    Then edge-east-1 and edge-west-1 live within the memory and descriptors of their machines
    And a request to /status/x at edge-east-1 is answered with 200
    And once the crowd has gone, a body of 4194304 bytes to /book/x is answered with 200

    Examples:
      | path      | crowd                             | upload  |
      | /status/x | uploads in chunks that stop short | /book/x |
      | /away/x   | whole uploads                     | /away/x |
      | /ask/x    | whole uploads                     | /book/x |

  # Guards against upstreams whose places are taken by callers that don't read (LOST).
  Scenario Outline: A crowd that reads takes no places of upstreams from others
    Given instances on the platform, on machines with 160 MB and 1000 descriptors
    And upstreams with 8 places and answers of 3000000 bytes, or 100 events of 30000 bytes
    When 60 callers from 60 addresses ask edge-east-1 for <path> and read <pace>
    Then edge-east-1 and edge-west-1 live within the memory and descriptors of their machines
    And a request to <path> at edge-east-1 is answered with 200

    Examples:
      | path      | pace    |
      | /status/x | slowly  |
      | /status/x | nothing |
      | /away/x   | nothing |
      | /ask/x    | slowly  |

  # Guards against an answer that its upstream cuts off, as a sound caller pauses (LOST).
  Scenario Outline: In calm, a caller that pauses gets its whole answer
    Given instances on the platform, on machines with 300 MB and 4100 descriptors
    And upstreams with 8 places that wait 2 seconds for a reader of an answer of 3000000 bytes
    When a caller asks edge-east-1 for <path>, reads 100000 bytes, pauses for 6 seconds and reads on
    Then it gets 3000000 bytes

    Examples:
      | path      |
      | /status/x |
      | /away/x   |

  # Guards against an instance that runs out of memory for answers that nobody reads (LOST).
  Scenario Outline: A crowd that reads on the own interface
    Given instances <instances> of the own interface, on machines with 160 MB and 1000 descriptors
    And only upstreams of <region>, with 500 places and answers of 3000000 bytes
    When <count> callers ask muscat-a-1 for <what> and read <pace>
    Then they live within the memory and descriptors of their machines
    And a chat is answered with 200

    Examples:
      | instances             | region   | count | what         | pace    |
      | muscat-a-1            | muscat-a | 150   | a long reply | slowly  |
      | muscat-a-1            | muscat-a | 150   | a long reply | nothing |
      | muscat-a-1            | muscat-a | 300   | a long chat  | slowly  |
      | muscat-a-1, sohar-a-1 | sohar-a  | 150   | a long reply | slowly  |
      | muscat-a-1, sohar-a-1 | sohar-a  | 150   | a long chat  | nothing |
