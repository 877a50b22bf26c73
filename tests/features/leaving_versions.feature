Feature: Upstreams that are leaving take the streams that only their software version can take
  In virtual time. Instances of a zone share a store, with a bound of 3 seconds for upstreams that leave.

  # Guards against streams that are lost as the last upstreams of their version shut down (LOST).
  Scenario: A stream is taken up at a leaving upstream while no other one of its version serves
    Given 2 instances of a zone with upstreams of v1 and v2
    When a stream of v1 breaks off at edge-1
    And the zone runs on for 1 seconds
    And upstreams of v1 begin to leave
    And the zone runs on for 0.5 seconds
    Then edge-2 takes that stream up at v1 3 times, each time at once
    And no stream begins at v1 at edge-2

  # Guards against new streams that are refused between two versions, as the first one leaves at once.
  Scenario: New streams begin at leaving upstreams until the new version serves
    Given 2 instances of a zone with upstreams of v1
    When upstreams of v2 register
    And upstreams of v1 begin to leave
    And the zone runs on for 0.3 seconds
    Then a stream begins at v1 at edge-2
    When the zone runs on for 1.5 seconds
    Then a stream begins at v2 at edge-2

  # Guards against callers that come back in vain while the next version is only announced.
  Scenario Outline: A caller whose stream no version can begin yet is told when the next one serves
    Given 2 instances of a zone with upstreams of v1
    When upstreams of v1 leave
    And the zone runs on for <before_s> seconds
    And upstreams of v2 register
    And the zone runs on for <after_s> seconds
    Then a stream at edge-2 is refused with no-upstream, not run
    And streams begin at v2 there when the time to come back is over, and none half a second before

    Examples:
      | before_s | after_s |
      | 2.1      | 0.1     |
      | 2.1      | 0.7     |
      | 1.9      | 0.5     |

  # Guards against requests to upstreams that left (DRAIN): the bound less the time of the way.
  Scenario: Leaving upstreams get nothing once the time of their shutdown is over
    Given 2 instances of a zone with upstreams of v1 and v2
    When a stream of v1 breaks off at edge-1
    And upstreams of v1 begin to leave
    And the zone runs on for 2.45 seconds
    Then a take-up of that stream at edge-2 is refused with origin-gone at once
    And nothing else goes to v1 at edge-2

  # Guards against requests to upstreams whose answers said before that they were leaving (DRAIN).
  Scenario: An upstream whose answers said that it leaves takes nothing later than by those
    Given 2 instances of a zone with upstreams of v1 and v2
    When a stream of v1 breaks off at edge-1
    And the answers of the upstreams of v1 say to edge-1 that they are leaving
    And the zone runs on for 2 seconds
    Then edge-1 takes that stream up at v1 1 times, each time at once
    When upstreams of v1 begin to leave
    And the zone runs on for 0.5 seconds
    Then a take-up of that stream at edge-1 is refused with origin-gone at once

  Scenario: Requests that can't be resumed never go to leaving upstreams
    Given 2 instances of a zone with upstreams of v1
    When upstreams of v1 begin to leave
    And the zone runs on for 0.5 seconds
    Then nothing else goes to v1 at edge-2
