Feature: Upstreams that say in their answers that they are leaving or want a pause

  Scenario Outline: An upstream whose answer says that it is leaving gets no more requests
    Given 3 instances before 2 upstreams in each region
    When callers send 60 requests a second for 2 seconds
    And pulses are <pulses>
    And the first upstream of east says in its answers that it is leaving
    And callers send 60 requests a second for 4 seconds
    Then no instance sends the first upstream of east a request after it was told
    And no request is refused

    Examples:
      | pulses    |
      | delivered |
      | lost      |

  Scenario: An upstream that has started again is used, whatever its former start said
    Given an instance with configuration 1 and upstreams u1
    When an answer of u1 says that it is leaving
    Then it is not used
    When an upstream registers with born as 2
    And a late answer of the former u1 says that it is leaving
    Then it is used

  Scenario Outline: A refusal with a time to come back is followed by a pause
    Given an instance with configuration 1 and upstreams u1
    When u1 answers <status> with Retry-After <value>
    Then u1 gets <result>

    Examples:
      | status | value                         | result                     |
      | 503    | 2.5                           | nothing for 2.5 seconds    |
      | 503    | 30                            | nothing for 30 seconds     |
      | 503    | 0                             | requests at once           |
      | 503    | -1                            | requests at once           |
      | 503    | nan                           | requests at once           |
      | 503    | 1e999                         | requests at once           |
      | 503    | Sun, 06 Nov 1994 08:49:37 GMT | requests at once           |
      | 429    | 2.5                           | requests at once           |

  Scenario: A shorter pause named later does not end a longer one
    Given an instance with configuration 1 and upstreams u1
    When u1 answers 503 with Retry-After 5
    And u1 answers 503 with Retry-After 1
    Then u1 gets nothing for 5 seconds

  Scenario Outline: A statement that can't be read changes nothing and is logged
    Given an instance with configuration 1 and upstreams u1
    When an answer of u1 names the rate <value>
    Then u1 gets requests at once
    And the instance logs notice-unreadable once

    Examples:
      | value  |
      | many   |
      | -3     |
      | nan    |
      | 1e999  |
