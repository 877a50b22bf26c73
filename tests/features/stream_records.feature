Feature: Instances record which software version began their open streams
  In virtual time. Instances of a zone share a store; several versions may have begun open streams.

  Scenario: Streams that began before and after another version came are known after all instances were killed
    Given 3 instances of a zone with upstreams of v1
    When 4 streams of v1 begin at each instance
    And upstreams of v2 register
    And the zone runs on for 5 seconds
    And 4 streams of v2 begin at each instance
    And the zone runs on for 1 seconds
    And all instances are killed and start again
    Then each stream is taken up at the version that began it, at every instance

  Scenario: Streams that ended in full are not recorded, broken ones are
    Given 2 instances of a zone with upstreams of v1 and v2
    When 3 streams of v1 begin at edge-1, one of which ends in full and one breaks off before they are recorded
    And the zone runs on for 2 seconds
    Then 2 streams are recorded

  Scenario: A stream that lasts is recorded again before its record ends, under a lease that is not renewed
    Given 2 instances of a zone with upstreams of v1 and v2
    When 1 streams of v1 begin at edge-1
    And the zone runs on for 2 seconds
    And the leases of all batches in the store end 60 seconds later
    Then 1 streams are recorded
    And no lease of a batch was renewed

  Scenario: Batches are bounded
    Given 1 instances of a zone with upstreams of v1 and v2
    When 600 streams of v1 are remembered by edge-1
    And the zone runs on for 4 seconds
    Then 600 streams are recorded, in batches of at most 128

  Scenario: The instances together use a quarter of the store's writes
    Given 12 instances of a zone with upstreams of v1 and v2
    And the store takes 20 writes a second
    When a stream begins at each instance every 0.2 seconds for 30 seconds
    Then at most a quarter of 20 writes a second were made, and two more by each instance
    And at least 80 writes were made

  Scenario Outline: Streams are recorded in the end although <trouble>
    Given 2 instances of a zone with upstreams of v1 and v2
    When 5 streams of v1 begin at edge-1 while <trouble>
    And the zone runs on for 10 seconds
    Then the 5 streams are found by edge-2

    Examples:
      | trouble                                     |
      | the store refuses everything                |
      | the replies to all commits are lost         |
      | the lease of the batches ends               |

  Scenario: A restored store gets the records again
    Given 2 instances of a zone with upstreams of v1 and v2
    And a copy of the store
    When 5 streams of v1 begin at edge-1
    And the zone runs on for 2 seconds
    And the store comes back from the copy
    And the zone runs on for 5 seconds
    And edge-2 starts again without notice
    Then the 5 streams are found by edge-2

  Scenario: What a dead instance recorded stays known when the store comes back without it
    Given 3 instances of a zone with upstreams of v1 and v2
    And a copy of the store
    When 5 streams of v1 begin at edge-1
    And the zone runs on for 2 seconds
    And edge-1 ends without notice
    And the store comes back from the copy
    And the zone runs on for 8 seconds
    Then the 5 streams are found by edge-2
    When the zone runs on for 121 seconds
    Then none of the streams is found by edge-2

  Scenario: A batch that can't be read hides no others
    Given 2 instances of a zone with upstreams of v1 and v2
    When another writer leaves bytes that are no batch
    And 5 streams of v1 begin at edge-1
    And the zone runs on for 2 seconds
    Then the 5 streams are found by edge-2

  # Guards against records that come too late for the streams of an instance that dies (LOST).
  Scenario: Most open streams of an instance that dies go on elsewhere
    Given 8 instances of a zone with upstreams of v1 and v2
    And the store takes 400 writes a second
    When each instance begins a stream every 0.5 seconds that lasts 3 seconds, and 6 instances die one after the other
    Then at least 0.7 of the open streams of those that died go on elsewhere
