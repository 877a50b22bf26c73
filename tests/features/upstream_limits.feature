Feature: Upstreams that name the request rate that they take from all instances together

  Scenario: The log tells what rate an upstream names, what was sent, and when it ends
    Given 1 instance before 1 upstream in each region
    When the first upstream of east names 2 requests a second
    And callers send 10 requests a second for 7 seconds
    And the first upstream of east names no rate any more
    And callers send 10 requests a second for 5 seconds
    Then the instances log the rate with what was sent, and upstream-unlimited

  Scenario Outline: An upstream that names a rate gets no more than that from all instances together
    Given <instances> instances before 3 upstreams in each region
    When callers send 60 requests a second for 4 seconds
    And the first upstream of east names <first> requests a second
    And the second upstream of east names <second> requests a second
    And callers send 60 requests a second for 16 seconds
    Then no upstream gets more than it takes
    And each limited upstream gets at least half of what it takes
    And no request is refused

    Examples:
      | instances | first | second |
      | 1         | 12    | 6      |
      | 3         | 12    | 1.5    |
      | 8         | 20    | 0.5    |
      | 24        | 12    | 3      |

  Scenario: A rate that changes and ends is followed by all instances
    Given 4 instances before 2 upstreams in each region
    When the first upstream of east names 20 requests a second
    And callers send 60 requests a second for 8 seconds
    And the first upstream of east names 4 requests a second
    And callers send 60 requests a second for 8 seconds
    And the first upstream of east names 12 requests a second
    And callers send 60 requests a second for 8 seconds
    Then no upstream gets more than it takes
    When the first upstream of east names no rate any more
    And callers send 60 requests a second for 3 seconds
    Then no instance holds back from the first upstream of east

  Scenario Outline: A named rate is kept in spite of <trouble>
    Given 4 instances before 2 upstreams in each region
    When the first upstream of east names 8 requests a second
    And the second upstream of east names 10 requests a second
    And callers send 60 requests a second for 7 seconds
    And <trouble> happens
    And callers send 60 requests a second for 10 seconds
    Then no upstream gets more than it takes

    Examples:
      | trouble                                |
      | a restart of the first instance        |
      | a restart of all instances in turn     |
      | a planned stop of the first instance   |
      | a loss of all pulses                   |
      | a freeze of the first instance         |

  Scenario: What a limited region can't take goes to another region, and is refused at once if none has room
    Given 2 instances before 1 upstream in each of two regions
    When the first upstream of east names 2 requests a second
    And callers of east send 30 requests a second for 10 seconds
    Then no upstream gets more than it takes
    And no request is refused
    When the first upstream of west names 2 requests a second
    And callers of east send 30 requests a second for 10 seconds
    Then no upstream gets more than it takes
    And requests are refused as not run, with a time after which to come back
    And at most a third of the requests of the last 8 seconds were forwarded
