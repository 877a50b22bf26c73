Feature: The store says which software versions may have begun open streams
  In virtual time. Instances of a zone share a store; upstreams name their version in their entries.

  Scenario: A service with a single version costs one write and no further call
    Given 6 instances of a zone with upstreams of v1
    Then the record is "v1 serving", written once
    When the zone runs on for 20 seconds
    Then the record is "v1 serving", written once
    And no batch of streams was written

  Scenario: Services without resumable routes have no record
    Given 3 instances of a zone with upstreams of v1
    When upstreams of v1 and v2 of a service without resumable routes register
    And the zone runs on for 5 seconds
    Then only the service with resumable routes has a record

  Scenario: A new version is announced for longer than knowledge may be old before streams begin there
    Given 6 instances of a zone with upstreams of v1
    When upstreams of v2 register
    And the zone runs on for 0.7 seconds
    Then the record is "v1 serving, v2 announced"
    And streams begin at v1 only at every instance
    When the zone runs on for 0.5 seconds
    Then the record is "v1 serving, v2 announced"
    When the zone runs on for 1 seconds
    Then the record is "v1 serving, v2 serving"
    And streams begin at v1 and v2 at every instance

  # Guards against a service that has no version to begin streams at for longer than it must.
  Scenario: A new version serves as soon as its time as announced is over
    Given 4 instances of a zone with upstreams of v1
    When upstreams of v2 register
    Then v2 is announced within 0.3 seconds, and serves 1.25 to 1.35 seconds later

  Scenario: A version without upstreams is retired, and forgotten after the longest stream
    Given 2 instances of a zone with upstreams of v1 and v2
    When upstreams of v1 leave
    And the zone runs on for 9 seconds
    Then the record is "v1 serving, v2 serving"
    When the zone runs on for 3 seconds
    Then the record is "v1 retired, v2 serving"
    When the zone runs on for 115 seconds
    Then the record is "v1 retired, v2 serving"
    When the zone runs on for 10 seconds
    Then the record is "v2 serving"

  Scenario: A retired version that returns serves again at once
    Given 2 instances of a zone with upstreams of v1 and v2
    When upstreams of v1 leave
    And the zone runs on for 12 seconds
    And upstreams of v1 register
    And the zone runs on for 1 seconds
    Then the record is "v1 serving, v2 serving"

  Scenario: The only version stays although it has no upstream
    Given 2 instances of a zone with upstreams of v1
    When upstreams of v1 leave
    And the zone runs on for 30 seconds
    Then the record is "v1 serving", written once

  Scenario: A new version that leaves before it serves is forgotten
    Given 2 instances of a zone with upstreams of v1
    When upstreams of v2 register
    And the zone runs on for 1 seconds
    And upstreams of v2 leave
    And the zone runs on for 9 seconds
    Then the record is "v1 serving, v2 announced"
    When the zone runs on for 3 seconds
    Then the record is "v1 serving"

  Scenario Outline: The record changes in time although <trouble>
    Given 4 instances of a zone with upstreams of v1
    When <trouble>
    And upstreams of v2 register
    And the zone runs on for <seconds> seconds
    Then the record is "v1 serving, v2 serving"

    Examples:
      | trouble                                     | seconds |
      | the instance that ranks first stands still  | 8       |
      | the replies to all commits are lost         | 8       |
      | the store refuses all calls for 3 seconds   | 10      |
      | another instance has just changed it        | 8       |

  Scenario: An instance that is cut off from the store infers nothing from what it knew
    Given 3 instances of a zone with upstreams of v1
    When edge-1 can't reach the store
    And upstreams of v2 register
    And the zone runs on for 0.2 seconds
    Then edge-1 takes up a stream that it doesn't know at v1
    When the zone runs on for 3 seconds
    Then edge-1 refuses to take up a stream that it doesn't know
    And streams begin at v1 only at edge-1

  # Guards against a region that is cut off and stops to serve, and against what it began meanwhile (ORDER).
  Scenario: An instance that is cut off for long goes on with new streams, and tells of their version afterwards
    Given 3 instances of a zone with upstreams of v1
    When edge-1 can't reach the store
    And upstreams of v2 register
    And upstreams of v1 leave
    And the zone runs on for 150 seconds
    Then the record is "v2 serving"
    And streams begin at v1 only at edge-1
    When edge-1 reaches the store again
    And the zone runs on for 1 seconds
    Then the record is "v2 serving, v1 retired"
    And edge-2 refuses to take up a stream that it doesn't know
    When the zone runs on for 125 seconds
    Then the record is "v2 serving"

  # Guards against streams of that version being taken for the other one's when its upstreams are back too (ORDER).
  Scenario Outline: A version at which an instance that was cut off began streams serves once others have seen it
    Given 3 instances of a zone with upstreams of v1
    When edge-1 can't reach the store
    And upstreams of v2 register
    And upstreams of v1 leave
    And the zone runs on for 150 seconds
    Then streams begin at v1 only at edge-1
    When upstreams of v1 register
    And the zone runs on for <seconds> seconds
    And edge-1 reaches the store again
    And the zone runs on for 0.7 seconds
    Then the record is "v2 serving, v1 retired"
    And edge-2 refuses to take up a stream that it doesn't know
    When the zone runs on for 2 seconds
    Then the record is "v2 serving, v1 serving"

    Examples:
      | seconds |
      | 0.0     |
      | 0.5     |

  # Guards against take-ups that are refused in calm as knowledge ages between two polls of the store (LOST).
  Scenario Outline: With a single version no take-up is refused in calm
    Given 4 calm instances with upstreams of v1 and bounds of <ms> ms
    Then each of 30 take-ups of unknown streams at each instance goes on at v1

    Examples:
      | ms   |
      | 3000 |
      | 5000 |

  Scenario: A record that can't be read is written over
    Given 3 instances of a zone with upstreams of v1
    When another writer leaves "half a" as the record
    And the zone runs on for 4 seconds
    Then the record is "v1 serving"

  Scenario: A restored store that lacks a version gets it again, and nothing is inferred until then
    Given 3 instances of a zone with upstreams of v1
    And a copy of the store
    When upstreams of v2 register
    And the zone runs on for 5 seconds
    And the store comes back from the copy
    Then edge-1 takes up no stream that it doesn't know in the next 4 seconds
    And the record is "v1 serving, v2 serving"

  Scenario: After an outage from which the store comes back as a copy, streams can be taken up again soon
    Given 3 instances of a zone with upstreams of v1
    And a copy of the store
    When no instance can reach the store for 5 seconds
    And the store comes back from the copy
    Then edge-1 takes up no stream that it doesn't know in the next 4 seconds
    When the zone runs on for 10 seconds
    Then edge-1 takes up a stream that it doesn't know at v1

  Scenario: Nobody vouches for a restored record when all instances start with it
    Given 3 instances of a zone with upstreams of v1
    And a copy of the store
    When upstreams of v2 register
    And the zone runs on for 5 seconds
    And upstreams of v2 leave
    And all instances are killed, the store comes back from the copy, and they start again
    Then edge-1 takes up no stream that it doesn't know in the next 30 seconds
    When a stream of v1 begins at edge-1, and the zone runs on for 2 seconds
    Then edge-2 takes that stream up at v1
    When the zone runs on for 100 seconds
    Then edge-1 takes up a stream that it doesn't know at v1

  # Guards against knowledge that an instance takes for fresh as its clock stood still with it (ORDER).
  Scenario: An instance that was suspended infers nothing from what it knew before
    Given 3 instances of a zone with upstreams of v1
    When edge-1 has just learned that the store is as it knows it
    And edge-1 stands still for 5 seconds while upstreams of v2 register
    Then edge-1 doesn't send a stream that it doesn't know to v1 at once
    And the clock of an instance counts the time of a suspension

  # Guards against reports that waited while their receiver stood still, and pass for new ones (ORDER).
  Scenario Outline: An instance that stood still infers nothing from reports that waited for it meanwhile
    Given 3 instances of a zone with upstreams of v1
    When the instance that watches no store stands still for <seconds> seconds while upstreams of v2 register
    Then it sends no stream that it doesn't know to v1 while it reads the reports that waited

    Examples:
      | seconds |
      | 3       |
      | 12      |

  # Guards against a version that serves before others can have seen it announced (ORDER).
  Scenario: A version that was forgotten and came back while an instance heard nothing is announced for as long
    Given 4 instances of a zone with upstreams of v1
    When upstreams of v2 register
    And the zone runs on for 0.6 seconds
    And the instance that ranks first hears nothing, and upstreams of v2 leave
    And the zone runs on for 14 seconds
    Then the record is "v1 serving"
    When upstreams of v2 register
    And the zone runs on for 2 seconds
    Then the record is "v1 serving, v2 announced"
    When the instance that ranks first reads the store again
    And the zone runs on for 1 seconds
    Then the record is "v1 serving, v2 announced"
    When the zone runs on for 4 seconds
    Then the record is "v1 serving, v2 serving"

  Scenario: A record that another instance has changed meanwhile is not written over
    Given 3 instances of a zone with upstreams of v1
    When upstreams of v2 register
    And the record changes while the write of the instance that ranks first is on its way
    Then that write changes nothing

  # Guards against inference from a version that was announced before another one, and serves since (ORDER).
  Scenario: A second version that is announced makes the first one no younger
    Given 4 instances of a zone with upstreams of v1
    When upstreams of v2 register
    And the zone runs on for 1.2 seconds
    And upstreams of v3 register
    And the zone runs on for 0.25 seconds
    And the instance that ranks last hears nothing more
    And the zone runs on for 0.25 seconds
    Then the record is "v1 serving, v2 serving, v3 announced"
    And the instance that ranks last refuses to take up a stream that it doesn't know

  Scenario: Nobody who has not known all versions vouches for a store that was restored twice
    Given 3 instances of a zone with upstreams of v1
    And a copy of the store
    When upstreams of v2 register
    And the zone runs on for 5 seconds
    And upstreams of v2 leave
    And all instances are killed, the store comes back from the copy, and they start again
    And the store comes back from the copy
    Then edge-1 takes up no stream that it doesn't know in the next 30 seconds
