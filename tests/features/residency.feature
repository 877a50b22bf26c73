Feature: Data stays where it must, and no request loops

  Scenario: Random route tables, stale views on both sides, and faults
    When 30 random histories of tables and requests are played
    Then no request was served in a region that entry or server did not allow
    And no request was forwarded more than once
    And every refusal for want of a region says not-run

  Scenario Outline: What account, route, directory and sender allow is intersected
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

  Scenario Outline: A forwarded request is served or refused, never forwarded on
    Given an instance whose region <upstreams> upstreams
    When a peer forwards a request that visited <visited> with <hops> hops
    Then the request is <outcome>

    Examples:
      | upstreams | visited   | hops | outcome             |
      | has       | a peer    | 1    | served              |
      | has no    | a peer    | 1    | refused no-upstream |
      | has       | a peer    | 2    | refused loop        |
      | has       | itself    | 1    | refused loop        |

  Scenario: The regions change while a request waits for a place
    Given an instance whose only upstream is busy, and a request that waits for it
    When an operator binds the account to sohar-a
    And the upstream gets free
    Then the waiting request is served in sohar-a
