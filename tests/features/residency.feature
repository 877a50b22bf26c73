Feature: Requests are served only in allowed regions and forwarded at most once

  Scenario: Random limits, stale catalogs at entry and server, and network faults
    When 30 random histories of region limits and requests are played
    Then no request was served in a region that the entry or serving instance did not allow
    And no request was forwarded more than once
    And every refusal for lack of a region or upstream says not-run

  Scenario Outline: The regions that account, route, directory and sender allow are intersected
    Given an account for <account>, a route for <route> and a directory home of <home>
    When a request comes to an instance in muscat-a
    Then the request may be served in <allowed>

    Examples:
      | account           | route             | home     | allowed           |
      | anywhere          | anywhere          | nowhere  | anywhere          |
      | muscat-a,sohar-a  | anywhere          | nowhere  | muscat-a,sohar-a  |
      | muscat-a,sohar-a  | sohar-a,salalah-a | nowhere  | sohar-a           |
      | anywhere          | anywhere          | sohar-a  | sohar-a           |
      | muscat-a          | sohar-a           | nowhere  | refused           |
      | muscat-a          | anywhere          | sohar-a  | refused           |

  Scenario Outline: A forwarded request is served or refused, never forwarded again
    Given an instance whose region <upstreams> upstreams
    When a peer forwards a request that visited <visited> with <hops> hops
    Then the request is <outcome>

    Examples:
      | upstreams | visited   | hops | outcome             |
      | has       | a peer    | 1    | served              |
      | has no    | a peer    | 1    | refused no-upstream |
      | has       | a peer    | 2    | refused loop        |
      | has       | itself    | 1    | refused loop        |

  Scenario: The allowed regions change while a request is queued
    Given an instance whose only upstream is busy, and a request that waits for it
    When an operator restricts the account to sohar-a
    And the upstream becomes free
    Then the waiting request is served in sohar-a

  # Guards against "not run" told of a request that an upstream may have run (TWICE).
  Scenario: A request that no region may serve any more after its first attempt may have run
    Given an attempt at an upstream that may have run
    When the account is restricted to muscat-a and its route to sohar-a, and the attempt has failed
    Then its refusal for residency says that it may have run
