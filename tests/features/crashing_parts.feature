Feature: Prompt parts that crash upstreams

  Scenario Outline: Requests that share a crashing prompt part soon reach no upstream
    Given instances in <regions> and requests of which <share> hold a part of <crashing>
    When callers send 40 requests a second for 30 seconds
    Then at most 3 crashing requests are sent later than 5 seconds after the fifth crash
    And sound requests with the same first part begin at least half as often as before

    Examples:
      | regions                | share | crashing |
      | east, east, east       | 0.05  | p        |
      | east, east, east       | 0.05  | p, q     |
      | east, east, east       | 0.05  | p p      |
      | east, east, east       | 0.1   | p, q, r  |
      | east, east, west, west | 0.05  | p        |

  Scenario: Upstreams that lose power at one moment leave no part refused
    Given instances in east, east, east and requests of which 0 hold a part of p
    When callers send 200 requests a second for 3 seconds
    And all upstreams crash within 0.1 seconds
    And callers send 40 requests a second for 10 seconds
    Then no request was refused for a part or for itself

  Scenario: An instance that restarts keeps refusing a crashing part
    Given instances in east, east, east and requests of which 0.05 hold a part of p
    When callers send 40 requests a second for 15 seconds
    And the first instance is restarted
    And callers send 40 requests a second for 15 seconds
    Then at most 3 crashing requests are sent later than 5 seconds after the fifth crash

  Scenario: A sound part that one instance refuses is accepted once another has answered it
    Given two tables of suspects, of which the second knows an answer with part sound
    When three upstreams crash on different requests with part sound, as the first table saw
    Then the first table refuses part sound
    And it accepts part sound after a report to the second table and one back

  Scenario: A sound request that ran at three crashes is accepted once their cause is found
    Given two tables of suspects, of which the second knows no answer
    When request bystander runs at three upstreams that crash on different requests with part bad
    Then the first table refuses part bad but not request bystander

  Scenario: After its refusal ends a part may be tried again, and one crash refuses it once more
    Given two tables of suspects, of which the second knows no answer
    When three upstreams crash on different requests with part bad, as the first table saw
    Then the first table refuses part bad for 120 seconds
    And after that one crash is enough to refuse part bad

  Scenario: A request that is often answered is not refused for crashes that happened beside it
    Given two tables of suspects, of which the second knows no answer
    When request status runs at three upstreams that crash, and is answered after the second
    Then the first table does not refuse request status

  # Guards against refusing reads that ran at upstreams which lost power together (review/5).
  Scenario: Reads alike are served again once the upstreams that crashed together are back
    Given instances in east, east, east and requests of which 0 hold a part of p
    When callers send 40 reads alike a second for 3 seconds
    And all upstreams crash within 0.1 seconds
    And callers send 40 reads alike a second for 10 seconds
    Then no read of the last 5 seconds was refused

  Scenario Outline: A request that ran at three upstreams that crashed is refused for as long as is known
    Given two tables of suspects, of which the second knows no answer
    When three upstreams crash <how> on request status
    Then the first table refuses request status for <seconds> seconds
    And after that one crash is enough to refuse request status for long

    Examples:
      | how                                        | seconds |
      | together                                   | 2       |
      | together, and at a fourth one              | 2       |
      | a second after each other                  | 120     |
      | on its attempts, quickly after each other  | 120     |

  Scenario: Who refuses a request for a moment takes over that another instance refuses it for long
    Given two tables of suspects, of which the second knows no answer
    When three upstreams crash together on request status
    And the second table has seen the same request crash them on its attempts
    Then it refuses request status for 120 seconds after a report of the second table

  Scenario: An answer ends the suspicion of a request that was refused for a moment
    Given two tables of suspects, of which the second knows no answer
    When three upstreams crash together on request status
    And it is answered after the refusal
    And request status runs at an upstream that crashes
    Then the first table does not refuse request status

  # Guards against links that are full of the news of crashes (GONE, LOST).
  Scenario: However often upstreams crash, what instances tell of it fits into a third of the smallest link
    Given an instance with 23 others in its region and 48 elsewhere, each on a link of 10 Mbit/s
    When 300 requests a second end with crashes of 10 upstreams for 6 seconds
    Then what it sends to the others needs at most a third of its link
