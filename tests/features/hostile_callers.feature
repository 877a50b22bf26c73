@alone
Feature: Callers that keep to no limit don't end an instance
  The machine has 160 MB of memory and 400 descriptors, as the settings of the test say.

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
