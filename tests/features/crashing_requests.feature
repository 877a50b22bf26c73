Feature: Requests that crash upstreams of several regions
  In virtual time, on the own interface where nothing else is said.

  Scenario Outline: A request that crashes upstreams of one region reaches no more than two
    Given a fleet with <here> upstreams in the first region and <there> in the second, which crash on it
    When a caller of the first region sends the request
    Then 2 upstreams crashed, and the caller got poison, may-have-run
    When callers of all regions send the request again
    Then 2 upstreams crashed, and the caller got poison, not-run

    Examples:
      | here | there |
      | 3    | 1     |
      | 0    | 3     |

  # Guards against a crash more than allowed: another region tries a second upstream by itself.
  Scenario: A request that crashes an upstream here and one of another region reaches no third
    Given a fleet with 1 upstreams in the first region and 3 in the second, which crash on it
    When a caller of the first region sends the request
    Then 2 upstreams crashed, and the caller got poison, may-have-run
    When callers of all regions send the request again
    Then 2 upstreams crashed, and the caller got poison, not-run

  # Guards against a crash more than allowed: no region told the next one of its crash.
  Scenario: A request that crashes upstreams of two other regions reaches no third
    Given a fleet with 1 upstreams in the second region and 3 in the third, which crash on it
    When a caller of the first region sends the request
    Then 2 upstreams crashed, and the caller got poison, may-have-run
    When callers of all regions send the request again
    Then 2 upstreams crashed, and the caller got poison, not-run

  Scenario Outline: A request that failed in another region is tried again
    Given a fleet with <here> upstreams in the first region and <there> in the second, of which the first <fails>
    When a caller of the first region sends the request
    Then the caller got an answer

    Examples:
      | here | there | fails   |
      | 0    | 3     | fails   |
      | 0    | 3     | crashes |
      | 1    | 1     | crashes |

  # Guards against requests that crash one upstream after the other of a region that reports late.
  Scenario: On the users' platform, a crash in another region counts at once where the request came from
    Given a platform with an instance in east, one in west, and 4 upstreams in west
    When a request from east has crashed 3 of them, one with each repeat, without a pulse of west
    Then east refuses the next repeat itself, as poison and not-run
