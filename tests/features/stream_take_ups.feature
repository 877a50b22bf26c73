@platform_site @second_site
Feature: A stream goes on only at the software version that began it
  Two upstreams of each software version in east; west has none but where a scenario says so. A new service each
  scenario. Each event names the version that made it.

  # Ahead of those that restart instances, which can't tell for a while what began before.
  Scenario: A take-up that names no stream goes on where only one version can have begun it
    Given upstreams of v1 serve a service
    When 4 callers leave edge-east-1 after 2 events of a stream, and go on nowhere
    And the callers name as Resumes nothing, and go on at edge-east-2
    Then no caller holds events of two versions, and all of the callers hold a whole stream

  # Guards against an answer that goes on at another software version (ORDER).
  Scenario Outline: An answer that breaks off goes on at the version that began it
    Given upstreams of v1 and v2 serve a service
    When 6 callers read a stream at <instance>, each of whose first upstreams has the fault <fault>
    Then no caller holds events of two versions, and <share> of the callers hold a whole stream

    Examples:
      | fault            | instance    | share |
      | cut              | edge-east-1 | all   |
      | cut              | edge-west-1 | all   |
      | unframed_cut     | edge-east-1 | all   |
      | garbage          | edge-east-1 | all   |
      | garbage          | edge-west-1 | all   |
      | repeated_id      | edge-east-1 | all   |
      | answer_inside    | edge-east-1 | all   |
      | lose_answer      | edge-east-1 | all   |
      | half_head        | edge-east-1 | all   |
      | fail             | edge-east-1 | all   |
      | cut_then_fail    | edge-east-1 | none  |
      | cut_then_restart | edge-east-1 | some  |

  # Guards against an answer that goes on elsewhere when the instance that runs it is gone (ORDER).
  Scenario: An answer whose instance of another region is killed goes on at the version that began it
    Given upstreams of v1 and v2 serve a service
    When 8 callers read a stream at edge-west-1, and edge-east-1 is killed after 0.6 seconds
    Then no caller holds events of two versions, and all of the callers hold a whole stream
    And edge-east-1 starts again and is ready

  # Guards against take-ups that another software version answers (ORDER).
  Scenario Outline: A stream that its caller takes up goes on at the version that began it
    Given upstreams of v1 and v2 serve a service
    When 12 callers leave <first> after <count> events of a stream, and go on at <second>
    Then no caller holds events of two versions, and half of the callers hold a whole stream

    Examples:
      | first       | count | second                              |
      | edge-east-1 | 2     | edge-east-1                         |
      | edge-east-1 | 2     | edge-east-2                         |
      | edge-east-1 | 2     | edge-west-1                         |
      | edge-west-1 | 2     | edge-east-2                         |
      | edge-west-1 | 2     | edge-west-1                         |
      | edge-east-1 | 1     | edge-east-2 edge-west-1 edge-east-1 |

  # Guards against take-ups that another software version answers because the own one is gone (ORDER).
  Scenario Outline: A stream whose version has left goes on nowhere until that version is back
    Given upstreams of v1 serve a service
    When 12 callers leave edge-east-1 after 2 events of a stream, and go on nowhere
    And upstreams of <next> serve too, and those of v1 <leave>
    And the callers go on at <instance>
    Then no caller holds events of two versions, and <share> of the callers hold a whole stream
    And each take-up that was refused was told so within 1 second, and none of these ran

    Examples:
      | next   | leave                       | instance    | share |
      | v2     | stay                        | edge-east-1 | half  |
      | v2     | stay                        | edge-west-1 | half  |
      | v2     | leave                       | edge-east-1 | none  |
      | v2     | leave                       | edge-east-2 | none  |
      | v2     | leave                       | edge-west-1 | none  |
      | v2, v3 | leave                       | edge-east-2 | none  |
      | v2     | leave and come back         | edge-east-1 | half  |
      | v2     | leave and come back         | edge-east-2 | half  |
      | v2     | are drained                 | edge-east-2 | some  |

  # Guards against what is known of streams being lost with the instances (ORDER, LOST).
  Scenario Outline: A stream goes on at the version that began it after all instances were killed
    Given upstreams of v1 and v2 serve a service
    When 12 callers read a stream, and all instances are killed after 1 second, <beside>
    And the callers go on at <instance>
    Then no caller holds events of two versions, and <share> of the callers hold a whole stream
    And each take-up that was refused was told so within 1 second, and none of these ran

    Examples:
      | beside                                           | instance    | share |
      | with nothing else                                | edge-east-1 | half  |
      | with nothing else                                | edge-east-2 | half  |
      | with nothing else                                | edge-west-1 | half  |
      | just after v1 left                               | edge-east-1 | some  |
      | and v1 leaves meanwhile                          | edge-east-2 | some  |
      | and v1 leaves while v3 begins to serve           | edge-east-1 | some  |
      | and the store is away for 2 seconds              | edge-east-2 | half  |
      | and the store comes back from a copy 0.5 s older | edge-east-1 | some  |

  # Guards against the first streams of a new version being taken for those of the old one (ORDER).
  Scenario Outline: Streams of the only version go on after all instances were killed when another one appears
    Given upstreams of v1 serve a service
    When 12 callers read a stream, and all instances are killed after 1 second, <beside>
    And the callers go on at edge-east-2
    Then no caller holds events of two versions, and <share> of the callers hold a whole stream
    And each take-up that was refused was told so within 1 second, and none of these ran

    Examples:
      | beside                                 | share |
      | with nothing else                      | half  |
      | just after v2 began to serve           | half  |
      | and v2 begins to serve meanwhile       | half  |
      | and v1 leaves while v2 begins to serve | none  |

  # Guards against a restored store that knows only the version before (ORDER).
  Scenario Outline: A stream of a version that a restored store has lost goes on at no other one
    Given upstreams of v1 serve a service, and the store keeps a copy
    When upstreams of v2 serve too, and those of v1 <leave>
    And 12 callers read a stream, and all instances are killed after 1 second, and the store comes back from the copy
    And the callers go on at edge-east-1
    Then no caller holds events of two versions, and <share> of the callers hold a whole stream

    Examples:
      | leave | share |
      | stay  | some  |
      | leave | some  |

  # Guards against take-ups that are lost with the instance that knows their streams (LOST).
  Scenario: Streams go on elsewhere after their instance was killed
    Given upstreams of v1 and v2 serve a service
    When 12 callers read a stream at edge-east-1, and edge-east-1 is killed after 1 second
    And the callers go on at edge-east-2
    Then no caller holds events of two versions, and half of the callers hold a whole stream
    And edge-east-1 starts again and is ready

  # Guards against a take-up that the id of the try sends to another service (ORDER).
  Scenario Outline: A stream on a route with two services goes on at the service that began it
    Given upstreams of v1 serve one service and those of v2 another one, which share a route
    When 12 callers leave edge-east-1 after 2 events of a stream, and go on at <instance>
    Then no caller holds events of two versions, and half of the callers hold a whole stream

    Examples:
      | instance    |
      | edge-east-1 |
      | edge-east-2 |

  Scenario Outline: A take-up of a stream that nobody knows is refused at once
    Given upstreams of v1 and v2 serve a service
    When 4 callers leave edge-east-1 after 2 events of a stream, and go on nowhere
    And the callers name as Resumes <resumes>, and go on at <instance>
    Then all of these are answered <status> within <limit_s> seconds, and none of them ran

    Examples:
      | resumes               | instance    | status | limit_s |
      | an unknown id         | edge-east-1 | 503    | 1       |
      | an unknown id         | edge-west-1 | 503    | 1       |
      | another account's id  | edge-east-1 | 503    | 1       |
      | nothing               | edge-east-2 | 503    | 1       |
      | an empty text         | edge-east-1 | 400    | 0.5     |
      | 201 bytes             | edge-east-1 | 400    | 0.5     |
      | an inner tab          | edge-east-2 | 400    | 0.5     |
      | letters beyond ASCII  | edge-west-1 | 400    | 0.5     |
