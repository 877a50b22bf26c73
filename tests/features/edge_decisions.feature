Feature: What an instance on the users' platform decides, in virtual time

  Scenario: Only newer configurations come into force
    Given an instance with configuration 5
    When configuration 9, then 7, then one that can't be read are written
    Then configuration 9 is in force, and two events tell of the others

  Scenario Outline: An entry of an upstream
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
      | unknown      | {}            | is used     |

  Scenario Outline: The entry of a live upstream vanishes
    Given an instance with configuration 1 and upstreams u1 and u2
    When the entry of u1 vanishes <how>
    Then u1 is used for 1.9 more seconds and not after 2.1, unless its entry is back

    Examples:
      | how                      |
      | in a change              |
      | between two full reads   |

  Scenario: A cold upstream gets no more than it bears from all instances of its region
    Given 6 instances of one region with an upstream that bears 4 requests a second while cold
    When each instance is asked 50 times a second for 6 seconds
    Then in no second it got more than 9 requests
    And it got 10 requests or more

  Scenario: Repeats stay within the fleet's budget
    Given 3 instances of one region with upstreams that fail every request
    When each instance is asked 30 times a second for 12 seconds
    Then in no 10 seconds there were more repeats than 0.2 of the requests and 60

  Scenario Outline: A request is run by no more upstreams than its route allows
    Given an instance with configuration 1 and upstreams u1, u2, u3 and u4
    When a request for <path> fails at each upstream, <how>
    Then it was sent <sends> times

    Examples:
      | path      | how                   | sends |
      | /status/x | after it ran          | 2     |
      | /status/x | without having run    | 4     |
      | /book/x   | after it ran          | 1     |
      | /book/x   | without having run    | 4     |
      | /plan/x   | after it ran          | 2     |
      | /ask/x    | after it ran          | 1     |

  Scenario Outline: A region is handed only what it can serve
    Given instances in west, east, with <where> for the requests that east gets
    When east gets a request
    Then it is <what>

    Examples:
      | where                            | what                      |
      | an upstream in west              | handed to west            |
      | no upstream at all               | refused with no-upstream  |
      | a leaving upstream in west       | refused with no-upstream  |
      | an upstream in an evacuated zone | refused with no-upstream  |

  Scenario: Services that share a published route get requests by their weights
    Given an instance and a published route shared 3 to 1 by two services
    When 400 requests of the shared route come in
    Then the first service gets from 250 to 350 of them

  Scenario: A failure of an upstream is not called "not run" when no other upstream can take over
    Given an instance with configuration 1 and upstreams u1
    When a request for /status/x is answered 500 by the only upstream
    Then it ends as may-have-run, and its last error tells of status 500

  Scenario: A request that crashes upstreams is refused, and the others hear of it
    Given 2 instances of one region with upstreams u1, u2 and u3
    When the same request has crashed three upstreams at the first instance
    Then the first refuses it as not run
    And the second refuses it once it heard the first

  Scenario: Shares of a rate add up to the whole, wherever the demand is
    Given 4 instances and an account with 1000 tokens a second and a burst of 1000
    When the demand moves from one instance to the next each 5 seconds for 20 seconds
    Then in no 8 seconds more than 9900 tokens were taken
    And at least 12000 tokens were taken

  Scenario: Instances of other regions know what a whole region asks, whoever of it told last
    Given 3 instances in east, of which each is asked for 100 tokens a second, and one in west
    When all of east tell each other, and one of them tells west
    Then west knows of 3 times what one of east is asked for
    And a pulse of another of east to west changes that by less than a tenth

  Scenario Outline: Many instances are asked at the same moment, and hear of each other later
    Given <count> instances and an account with 1000 tokens a second and a burst of 1000
    When <before>, and then all are asked for 40 tokens 25 times a second for 8 seconds
    And what they tell each other comes <delay_s> seconds later
    Then in no 8 seconds more than 9900 tokens were taken
    And at least 6000 tokens were taken

    Examples:
      | count | before                    | delay_s |
      | 6     | they have just started    | 0.5  |
      | 6     | nobody asked for 20 s     | 0.5  |
      | 6     | one is asked for 10 s     | 0.5  |
      | 12    | they have just started    | 0.5  |
      | 12    | nobody asked for 20 s     | 0.5  |

  Scenario: A request larger than an instance's share is not refused for ever
    Given 4 instances and an account with 1000 tokens a second and a burst of 4000
    When each instance is asked for 1500 tokens each 2 seconds for 20 seconds
    Then at least 13 of the requests were taken
    And in no 8 seconds more than 13200 tokens were taken

  Scenario Outline: The directory
    Given instances in <regions>, of which <silent> fell silent 5 seconds ago
    When a caller of east asks for a host whose routes have <homes>
    Then it is named <named>

    Examples:
      | regions         | silent | homes     | named      |
      | east, east, west| none   | no homes  | east, east |
      | east, west      | east   | no homes  | west       |
      | east, west      | east   | home west | west       |
      | east, west      | east   | home east | nobody     |
