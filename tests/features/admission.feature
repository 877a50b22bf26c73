Feature: Requests are admitted by priority while a service of the region is short of places

  Scenario Outline: A step of load is borne by the least urgent requests
    Given <instances> instances before 4 upstreams with 10 slots each
    When callers send 20 requests a second of each priority for 4 seconds
    Then no request was refused at the entry
    When callers send 40 urgent, 60 normal and 60 late requests a second for 15 seconds
    Then upstreams took at least 0.85 of the urgent requests of the last 10 seconds
    And no urgent request of the last 10 seconds was refused at the entry
    And upstreams took fewer than 0.05 of the late requests of the last 10 seconds
    And upstreams had at least 0.6 of their slots taken
    And the log tells the level that is in force

    Examples:
      | instances |
      | 1         |
      | 4         |
      | 12        |

  Scenario: Instances come to about the same level
    Given 4 instances before 4 upstreams with 10 slots each
    When callers send 40 urgent, 60 normal and 60 late requests a second for 15 seconds
    Then the levels of the instances differ by less than 0.2 for 5 seconds

  Scenario: Without the setting, urgent requests are turned away as often as others
    Given 4 instances that are not to admit by urgency, before 4 upstreams with 10 slots each
    When callers send 40 urgent, 60 normal and 60 late requests a second for 15 seconds
    Then upstreams took fewer than 0.8 of the urgent requests of the last 10 seconds
    And no request was refused at the entry

  Scenario: The least urgent requests get the room that is left, and all of it when load falls
    Given 4 instances before 4 upstreams with 10 slots each
    When callers send 20 urgent, 20 normal and 60 late requests a second for 20 seconds
    Then upstreams took at least 15 late requests a second in the last 10 seconds
    When callers send 20 requests a second of each priority for 12 seconds
    Then upstreams took at least 0.95 of the late requests of the last 3 seconds
    And the log tells that everything is admitted again

  Scenario: A slow drift moves the level without swinging
    Given 4 instances before 4 upstreams with 10 slots each
    When callers send from 15 to 50 requests a second of each priority over 40 seconds
    Then upstreams took at least 0.85 of the urgent requests of the last 40 seconds
    And no instance changed its level more than 12 times

  Scenario: An upstream that comes and goes
    Given 4 instances before 4 upstreams with 10 slots each
    When callers send 20 urgent, 40 normal and 40 late requests a second for 5 seconds
    And an upstream goes and comes back 10 times within 10 seconds
    Then at least 0.95 of the urgent callers of the last 10 seconds were served at some try
    And no urgent request of the last 10 seconds was refused at the entry

  Scenario Outline: An instance that <fate> counts no more after a second
    Given 4 instances before 4 upstreams with 10 slots each
    When callers send 30 urgent, 40 normal and 40 late requests a second for 10 seconds
    And an instance <fate>
    And callers send 30 urgent, 40 normal and 40 late requests a second for 2 seconds
    Then no other instance counts its demand
    And upstreams took at least 0.85 of the urgent requests of the last 2 seconds

    Examples:
      | fate    |
      | dies    |
      | freezes |

  Scenario: An instance that was frozen begins anew
    Given 4 instances before 4 upstreams with 10 slots each
    When callers send 30 urgent, 40 normal and 40 late requests a second for 10 seconds
    And an instance freezes
    And callers send 5 requests a second of each priority for 6 seconds
    And the frozen instance goes on
    And callers send 5 requests a second of each priority for 1 second
    Then no request of the last second was refused at the entry

  Scenario: An instance that hears nothing from the others goes by its own demand
    Given 4 instances before 4 upstreams with 10 slots each
    When the instances hear nothing of each other
    And callers send 40 urgent, 60 normal and 60 late requests a second for 10 seconds
    Then no urgent request of the last 10 seconds was refused at the entry

  Scenario: A service with a single priority is served as before
    Given 4 instances before 4 upstreams with 10 slots each
    When callers send 60 requests a second to the service with a single priority for 10 seconds
    Then no request was refused at the entry
    And the instances report no demand for that service

  Scenario: Requests that another region can serve are not refused while it has room
    Given 4 instances before 4 upstreams with 10 slots each, and another region with 8 idle ones
    When callers send 40 urgent, 60 normal and 60 late requests a second for 8 seconds
    Then no request was refused at the entry
    And the instances count a room of more than 60
    And the free room elsewhere is 80
    When the other region is silent for 6 seconds
    Then the free room elsewhere is 0

  Scenario: Requests that may not leave the region have no use of the room elsewhere
    Given 4 instances before 4 upstreams with 10 slots each, and another region that may serve none
    When callers send 40 urgent, 60 normal and 60 late requests a second for 8 seconds
    Then upstreams took at least 0.85 of the urgent requests of the last 4 seconds
    And upstreams took fewer than 0.05 of the late requests of the last 4 seconds
    And the instances count a room of no more than 60

  Scenario: A service with enough room reports no demand
    Given 4 instances before 4 upstreams with 10 slots each
    When callers send 10 requests a second of each priority for 5 seconds
    Then the instances report no demand at all

  Scenario: Refused callers are told when to return, spread, and are preferred when they do
    Given 1 instance before 4 upstreams with 10 slots each
    When callers send 20 urgent, 120 normal and 10 late requests a second for 20 seconds
    Then callers are told to return after 0.3 to 4 seconds, spread over at least 0.3 seconds
    And returning normal requests are taken more often than new ones

  # Guards against a crowd that returns at one moment.
  Scenario: Many refused callers don't return at the same time
    Given 1 instance before 4 upstreams with 10 slots each
    When callers send 20 urgent, 20 normal and 900 late requests a second for 6 seconds
    Then at most one refused caller in 20 is told to return after the same time

  Scenario Outline: An account at six times its usual leaves the others what they get without it
    Given <instances> instances before 4 upstreams with 10 slots each, for 3 accounts
    When each account sends 8 normal requests a second beside 30 urgent ones, for 25 seconds
    And the hot account sends 48 a second instead, for 25 seconds
    Then the other accounts got within 5% of what they got before
    And the hot account got at least 1.5 times what it got before

    Examples:
      | instances |
      | 1         |
      | 4         |

  Scenario: A refusal says that the request was not run, and costs no quota
    Given 1 instance before 4 upstreams with 10 slots each, for an account with a quota
    When callers send 60 urgent, 60 normal and 60 late requests a second for 6 seconds
    And a late request is sent
    Then it is refused as not admitted, not run, and the account has as many tokens as before

  Scenario Outline: The level fills the room with the most urgent work
    Given work of <first> at priority 0, <second> at priority 3 and <third> at priority 7
    Then with room for <room> the level is priority <priority> with a share of <share>

    Examples:
      | first | second | third | room | priority | share |
      | 4     | 4      | 4     | 12   | none     | 1     |
      | 4     | 4      | 4     | 10   | 7        | 0.5   |
      | 4     | 4      | 4     | 8    | 7        | 0     |
      | 4     | 4      | 4     | 5    | 3        | 0.25  |
      | 4     | 4      | 4     | 1    | 0        | 0.25  |
      | 4     | 4      | 4     | 0    | 0        | 0     |
      | 4     | 0      | 4     | 6    | 7        | 0.5   |

  Scenario Outline: New and returning requests together fill the share
    Given a share of <share> of the new work, and returning work of <returned> of it
    Then the chance of a new request is <new> and of a returning one <returning>

    Examples:
      | share | returned | new   | returning |
      | 0.2   | 0        | 0.2   | 0.6       |
      | 0.5   | 1        | 0.125 | 0.375     |
      | 0.8   | 0.2      | 0.6   | 1         |
      | 1     | 0        | 1     | 1         |
      | 0     | 2        | 0     | 0         |

  Scenario Outline: Room is divided by weight, and what an account leaves goes to the others
    Given accounts that ask for <work> with weights of <weights>
    Then with room for <room> they get <granted>

    Examples:
      | work     | weights | room | granted  |
      | 2, 2, 2  | 1, 1, 1 | 3    | 1, 1, 1  |
      | 1, 1, 6  | 1, 1, 1 | 5    | 1, 1, 3  |
      | 6, 6, 1  | 2, 1, 1 | 7    | 4, 2, 1  |
      | 1, 1, 1  | 1, 1, 1 | 9    | 1, 1, 1  |
      | 0, 4, 4  | 1, 1, 1 | 4    | 0, 2, 2  |
