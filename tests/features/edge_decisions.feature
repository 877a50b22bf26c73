Feature: Decisions of an instance on the users' platform, in virtual time

  Scenario: Only a newer configuration replaces the current one
    Given an instance with configuration 5
    When configuration 9, then 7, then one that can't be read are written
    Then configuration 9 is in force, and two events report the others

  Scenario Outline: Valid and invalid store entries of an upstream
    Given an instance with configuration 1
    When an upstream registers with <field> as <value>
    Then it <is used>

    Examples:
      | field        | value         | is used     |
      | state        | "ready"       | is used     |
      | state        | "draining"    | is not used |
      | state        | "resting"     | is not used |
      | capacity     | "4"           | is not used |
      | capacity     | 0             | is not used |
      | capacity     | true          | is not used |
      | zone         | "north-a"     | is not used |
      | service      | 7             | is not used |
      | service      | "other"       | is not used |
      | address      | "127.0.0.1"   | is not used |
      | address      | "127.0.0.1:x" | is not used |
      | born         | "now"         | is not used |
      | warmupLeftMs | null          | is not used |
      | version      | "v2"          | is used     |
      | version      | ""            | is used     |
      | version      | 2             | is not used |
      | version      | null          | is not used |
      | unknown      | {}            | is used     |

  Scenario Outline: An upstream whose store entry is deleted is used until its grace period ends
    Given an instance with configuration 1 and upstreams u1 and u2
    When the entry of u1 is deleted <how>
    Then u1 is used for 1.9 more seconds, not after 2.1, and again once its entry is back

    Examples:
      | how                      |
      | in a change              |
      | between two full reads   |

  Scenario: All instances of a region together keep a cold upstream within its request rate
    Given 6 instances of one region with an upstream that accepts 4 requests a second while cold
    When each instance gets 50 requests a second for 6 seconds
    Then it got at most 9 requests in any second
    And it got at least 10 requests

  Scenario: Retries stay within the retry budget of the fleet
    Given 3 instances of one region with upstreams that fail every request
    When each instance gets 30 requests a second for 12 seconds
    Then in any 10 seconds the retries are at most 0.2 of the requests plus 60

  Scenario Outline: A request is dispatched to no more upstreams than its route allows
    Given an instance with configuration 1 and upstreams u1, u2, u3 and u4
    When a request for <path> fails at each upstream, <how>
    Then it was dispatched <sends> times

    Examples:
      | path      | how                   | sends |
      | /status/x | after it ran          | 2     |
      | /status/x | without having run    | 4     |
      | /book/x   | after it ran          | 1     |
      | /book/x   | without having run    | 4     |
      | /plan/x   | after it ran          | 2     |
      | /ask/x    | after it ran          | 1     |

  Scenario Outline: A request is forwarded only to a region that can serve it
    Given an instance in east, one in west, and <where> for the requests
    When the instance in east gets a request
    Then it is <what>

    Examples:
      | where                            | what                      |
      | an upstream in west              | forwarded to west         |
      | no upstream at all               | refused with no-upstream  |
      | a leaving upstream in west       | refused with no-upstream  |
      | an upstream in an evacuated zone | refused with no-upstream  |

  Scenario: Services that share a published route get requests in proportion to their weights
    Given an instance and a published route shared 3 to 1 by two services
    When 400 requests of the shared route come in
    Then the first service gets from 250 to 350 of them

  Scenario: A request that failed at its only upstream is not reported as not-run
    Given an instance with configuration 1 and upstreams u1
    When a request for /status/x is answered 500 by the only upstream
    Then its last error is may-have-run and names status 500

  Scenario: A request that crashes upstreams is refused, after a pulse by other instances too
    Given 2 instances of one region with upstreams u1, u2 and u3
    When the same request has crashed three upstreams at the first instance
    Then the first instance refuses it as not-run
    And the second instance refuses it after a pulse of the first

  Scenario: The shares of a rate add up to the rate while the demand moves
    Given 4 instances and an account with 1000 tokens a second and a burst of 1000
    When the demand moves from one instance to the next every 5 seconds for 20 seconds
    Then at most 9900 tokens were admitted in any 8 seconds
    And at least 12000 tokens were admitted

  Scenario: A pulse to another region carries the demand of the whole region
    Given 3 instances in east, each with a demand of 100 tokens a second, and one in west
    When the instances in east exchange pulses, and one of them sends its pulse to west
    Then west knows 3 times the demand of one instance in east
    And a pulse of another instance in east changes that by less than a tenth

  Scenario Outline: The rate holds when many instances get load at once and pulses arrive late
    Given <count> instances and an account with 1000 tokens a second and a burst of 1000
    When <before>, and then each gets 25 requests a second of 40 tokens for 8 seconds
    And pulses between them arrive <delay_s> seconds late
    Then at most 9900 tokens were admitted in any 8 seconds
    And at least 6000 tokens were admitted

    Examples:
      | count | before                    | delay_s |
      | 6     | they have just started    | 0.5  |
      | 6     | nobody asked for 20 s     | 0.5  |
      | 6     | one is asked for 10 s     | 0.5  |
      | 12    | they have just started    | 0.5  |
      | 12    | nobody asked for 20 s     | 0.5  |

  Scenario: A request larger than an instance's share is not refused forever
    Given 4 instances and an account with 1000 tokens a second and a burst of 4000
    When each instance gets a request of 1500 tokens every 2 s for 20 seconds
    Then at least 13 of the requests were admitted
    And at most 13200 tokens were admitted in any 8 seconds

  Scenario Outline: The directory returns reachable instances, by the caller's region and by home
    Given instances in <regions>, of which those in <silent> sent no pulse for 5 seconds
    When a caller of east looks up a host whose routes have <homes>
    Then the directory returns <named>

    Examples:
      | regions         | silent | homes     | named      |
      | east, east, west| none   | no homes  | east, east |
      | east, west      | east   | no homes  | west       |
      | east, west      | east   | home west | west       |
      | east, west      | east   | home east | nobody     |

  Scenario Outline: A shared prompt part is read again where its holder slows down long answers
    Given an instance with two model upstreams whose answers take 2 seconds
    When its holder of a shared prompt part of 6000 tokens runs <running> requests of 64 slots
    And a request with that part arrives
    Then it goes to the <where>

    Examples:
      | running | where          |
      | 4       | holder         |
      | 40      | other upstream |

  Scenario: What one instance of a region heard of another is known in other regions too
    Given two instances of east and one of west that know each other
    When edge-1 has heard edge-2 0.35 seconds ago, and tells west of it 5 seconds later
    Then west takes edge-2 as seen 0.4 seconds ago

  Scenario: A pulse whose ages do not match its instances is refused as unreadable
    When a pulse with 2 instances and 1 age is decoded
    Then decoding fails

  Scenario: Many instances that heard the same do not all choose the same upstream
    Given 65 instances of one region with 14 upstreams of 8 slots
    And all of them know that u1 is idle and that the others run 3 requests each
    When each instance begins a request
    Then u1 gets at most a quarter of the requests

  # Guards against upstreams that seem full as callers read slowly (LOST).
  Scenario: An upstream that has sent a whole answer is free, though the caller has not read it
    Given an instance with configuration 1 and upstreams u1
    When two requests run at u1, and the caller of the first lets its whole answer wait
    Then u1 counts 1 request, and still 1 once the first is over
    And the time that the caller takes is not taken for work
