@alone
Feature: Callers that keep to no limit don't end an instance
  The bounds are those of the machines in the settings of the test. Memory counts with the bytes that
  the system holds for the sockets of the process.

  # Guards against an instance that runs out of memory or of descriptors (LOST).
  Scenario Outline: A crowd on the users' platform
    Given instances on the platform, on machines with 160 MB and 400 descriptors
    When <count> callers send edge-east-1 <crowd> to <path> and stay
    Then edge-east-1 and edge-west-1 live within the memory and descriptors of their machines
    And a request to /status/x at edge-east-1 is answered with 200
    And once the crowd has gone, a body of 4194304 bytes to /book/x is answered with 200

    Examples:
      | count | crowd                             | path    |
      | 48    | uploads that stop short           | /book/x |
      | 48    | uploads in chunks that stop short | /book/x |
      | 48    | whole uploads                     | /book/x |
      | 48    | whole uploads                     | /away/x |
      | 48    | rows of requests sent ahead       | /book/x |
      | 48    | heads without an end              | /book/x |
      | 500   | silent connections                | /book/x |
      | 100   | uploads in chunks of one byte     | /book/x |
      | 100   | uploads with long trailers        | /book/x |

  # Guards against an instance that runs out of memory or of descriptors (LOST).
  Scenario Outline: A large crowd from many addresses on the users' platform
    Given instances on the platform, on machines with 160 MB and 1000 descriptors
    When 300 callers from 100 addresses send edge-east-1 <crowd> to <path> and stay
    Then edge-east-1 and edge-west-1 live within the memory and descriptors of their machines
    And a request to /status/x at edge-east-1 is answered with 200

    Examples:
      | crowd                             | path    |
      | uploads in chunks that stop short | /book/x |
      | whole uploads                     | /away/x |
      | rows of requests sent ahead       | /book/x |

  # Guards against an instance that runs out of memory or of descriptors (LOST).
  Scenario Outline: A crowd on the own interface
    Given an instance of the own interface, on a machine with 160 MB and 400 descriptors
    When <count> callers send it <crowd> and stay
    Then it lives within the memory and descriptors of its machine
    And a chat is answered with 200

    Examples:
      | count | crowd                             |
      | 48    | uploads that stop short           |
      | 48    | uploads in chunks that stop short |
      | 48    | whole uploads                     |
      | 48    | rows of requests sent ahead       |
      | 48    | heads without an end              |
      | 500   | silent connections                |
      | 100   | uploads in chunks of one byte     |
      | 100   | uploads with long trailers        |

  # Guards against an instance that runs out of memory (LOST), as requests with keys run on.
  Scenario: A crowd on the own interface that leaves requests with keys behind
    Given instances muscat-a-1 of the own interface, on machines with 160 MB and 1000 descriptors
    And only upstreams of muscat-a, with 500 places and answers of 3000 bytes
    And plain upstreams that answer after 60 seconds
    When 48 callers send it uploads with keys and leave, 10 times
    Then it lives within the memory and descriptors of its machine
    And a chat is answered with 200

  # Guards against requests that run and wait for each other's memory for their answers (LOST).
  Scenario: A crowd on the users' platform that leaves large answers to its rows of requests unread
    Given instances on the platform, on machines with 160 MB and 1000 descriptors
    And upstreams with 500 places and answers of 1000000 bytes, or 100 events of 30000 bytes
    When 150 callers from 50 addresses send edge-east-1 rows of requests sent ahead to /book/x and stay
    Then edge-east-1 and edge-west-1 live within the memory and descriptors of their machines
    And a request to /status/x at edge-east-1 is answered with 200
