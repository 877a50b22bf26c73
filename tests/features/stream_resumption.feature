Feature: A caller that takes a stream up gets the rest from the software version that began it, or a refusal
  In virtual time. Instances of a zone share a store.

  Scenario: The instance that began a stream knows its version
    Given 2 instances of a zone with upstreams of v1 and v2
    When a stream of v1 breaks off at edge-1
    Then edge-1 takes that stream up at v1 10 times, each time at once

  Scenario: An instance that learned the version from a record goes on there, after many tries
    Given 3 instances of a zone with upstreams of v1 and v2
    When a stream of v1 breaks off at edge-1
    And the zone runs on for 1 seconds
    Then edge-2 takes that stream up at v1 10 times, each time at once
    And edge-3 takes that stream up at v1 10 times, each time at once

  Scenario: A take-up waits for a record that is on its way
    Given 2 instances of a zone with upstreams of v1 and v2
    When a stream of v1 begins at edge-1
    And edge-2 gets 30 take-ups of that stream at once
    And the zone runs on for 0.6 seconds
    Then all of them go on at v1 after at most 0.6 seconds
    And nothing waits at edge-2

  Scenario: A take-up that no record comes for is refused when its wait is over
    Given 2 instances of a zone with upstreams of v1 and v2
    When a caller takes up a stream at edge-2 that nobody knows
    And the zone runs on for 0.6 seconds
    Then it waits
    When the zone runs on for 0.2 seconds
    Then it is refused with origin-unknown, not run, with a time to come back

  # Guards against callers that wait for news of the store where none can come.
  Scenario: A take-up is refused at once while the store is out of reach
    Given 2 instances of a zone with upstreams of v1
    When edge-2 can't reach the store
    And the zone runs on for 3 seconds
    Then a take-up at edge-2 that names no stream is refused with origin-unknown at once
    And a take-up at edge-2 of a stream that it doesn't know is refused with origin-unknown at once

  # Guards against callers that spend all their tries while the store is out of reach.
  Scenario: A caller whose stream isn't known while the store is out of reach comes back later than others
    Given 2 instances of a zone with upstreams of v1
    When edge-2 can't reach the store
    And the zone runs on for 3 seconds
    Then a take-up at edge-2 is refused with origin-unknown and a time to come back of 2 seconds
    When edge-2 reaches the store again
    And the zone runs on for 2 seconds
    Then edge-2 takes up a stream that it doesn't know at v1

  Scenario: A caller with little time waits no longer than that
    Given 2 instances of a zone with upstreams of v1 and v2
    When a caller with 300 ms takes up a stream at edge-2 that nobody knows
    And the zone runs on for 0.35 seconds
    Then it is refused with origin-unknown, not run, with a time to come back

  Scenario: A caller that leaves while it waits is forgotten
    Given 2 instances of a zone with upstreams of v1 and v2
    When a caller takes up a stream at edge-2 that nobody knows
    And that caller leaves
    Then nothing waits at edge-2

  Scenario: A take-up that names no stream goes on only where one version can have begun it
    Given 2 instances of a zone with upstreams of v1
    When edge-2 has just learned that the store is as it knows it
    Then a take-up at edge-2 that names no stream goes to v1
    When upstreams of v2 register
    And the zone runs on for 5 seconds
    Then a take-up at edge-2 that names no stream is refused with origin-unknown at once

  Scenario: Streams go on while a new version has only just been announced
    Given 2 instances of a zone with upstreams of v1
    When edge-2 has just learned that the store is as it knows it
    And upstreams of v2 register
    And the zone runs on for 0.3 seconds
    Then the record is "v1 serving, v2 announced"
    And edge-2 takes up a stream that it doesn't know at v1
    When the zone runs on for 3 seconds
    Then edge-2 refuses to take up a stream that it doesn't know

  Scenario Outline: A malformed name of a stream is refused at once
    Given 1 instances of a zone with upstreams of v1
    Then a take-up at edge-1 that names <what> is refused with resumption-invalid at once

    Examples:
      | what                 |
      | an empty text        |
      | a text of 201 bytes  |
      | a tab                |
      | letters beyond ASCII |

  # Guards against a caller that names its stream, asks from its beginning and gets another version (ORDER).
  Scenario: A request that names a stream and no last event goes only to the version that began it
    Given 2 instances of a zone with upstreams of v1 and v2
    When a stream of v1 breaks off at edge-1
    And the zone runs on for 1 seconds
    Then 20 requests at edge-1 that name that stream and no last event go to v1
    And 20 requests at edge-2 that name that stream and no last event go to v1
    And a request at edge-2 that names a stream that nobody knows, and no last event, is refused with origin-unknown
    And a request at edge-2 with an empty name and no last event begins a stream

  Scenario: The stream of another client account is not known
    Given 1 instances of a zone with upstreams of v1 and v2
    When a stream of v1 breaks off at edge-1
    Then no stream of that id is known for another client account

  Scenario: A stream whose version has gone is refused at once, and goes on when the version is back
    Given 2 instances of a zone with upstreams of v1 and v2
    When a stream of v1 breaks off at edge-1
    And upstreams of v1 leave
    And the zone runs on for 4 seconds
    Then a take-up of that stream at edge-2 is refused with origin-gone at once
    When upstreams of v1 register
    And the zone runs on for 1 seconds
    Then edge-2 takes that stream up at v1 3 times, each time at once

  Scenario: A stream stays at its service on a route that several services share
    Given an instance with a route that two services share, each with a version of its own
    When 30 streams of that route break off and are taken up under other ids
    Then each goes on at the service that began it

  Scenario: A stream whose service left its route is refused
    Given an instance with a route that two services share, each with a version of its own
    When 30 streams of that route break off, the route leaves one service, and they are taken up
    Then those of the other service go on there, and the rest are refused with origin-gone
    And nothing is counted as running at an upstream
