Feature: The fleet never exceeds a client account's rate and burst
  Decisions of several instances in virtual time, with a fake store and network.

  Scenario: Random histories of use and faults stay within rate and burst
    Spend, lend, expire, crash, pause, clock drift, one-way loss, store outage, lost store answers,
    a region cut off, replacement of instances.
    When 25 random histories are played
    Then in no window did the use exceed burst plus rate times the window
    And the parts and tokens that could be spent never exceeded the whole

  Scenario: Replacing every instance leaves nobody with more, and the account with its rate
    Given a settled fleet with 3 for each of 2 regions
    When every instance is replaced gracefully, one after the other
    Then all parts are held by live instances
    And the parts and tokens that could be spent never exceeded the whole

  Scenario: A crashed instance's slice is taken over after its wait, not before
    Given a settled fleet with 3 for each of 1 regions
    When instance 1 crashes
    Then within 4.5 seconds its slice is still its own
    And after 12 seconds all parts are held by live instances

  Scenario: An instance cut off alone stops, and its slice is taken over
    Given a settled fleet with 3 for each of 1 regions
    When instance 1 is cut off from the store and its peers
    Then after 3 seconds instance 1 may not spend
    And after 14 seconds instance 1 holds nothing in the store
    When the cuts heal
    And 8 seconds pass
    Then instance 1 may spend again, within the whole

  Scenario: Two of three cut off together go on, and nobody takes over their slices
    Given a settled fleet with 3 for each of 1 regions
    When instances 1 and 2 are cut off from the store
    Then for 30 seconds instances 1 and 2 may spend
    And instances 1 and 2 hold their parts in the store

  Scenario: One of three cut off from the store stops, as the others are in touch
    Given a settled fleet with 3 for each of 1 regions
    When instance 1 is cut off from the store
    Then after 5 seconds instance 1 may not spend
    And the parts and tokens that could be spent never exceeded the whole

  Scenario: A voucher that reconnects ends the permission for good
    Given a settled fleet with 3 for each of 1 regions
    When instances 1 and 2 are cut off from the store
    And 6 seconds pass
    And instance 2 reconnects to the store
    And 2.5 seconds pass
    And instance 2 is cut off from the store
    And 20 seconds pass
    Then instance 1 may not spend
    And the parts and tokens that could be spent never exceeded the whole

  Scenario: A slice is not taken over while an old vouch may still hold
    Given a settled fleet with 3 for each of 1 regions
    When instances 1 and 2 are cut off from the store
    And 9 seconds pass
    And instance 2 reconnects to the store
    And the others learn that instance 1 is unreachable
    And 12 seconds pass
    Then instance 1 may not spend
    And the parts and tokens that could be spent never exceeded the whole

  Scenario: A transfer whose answer is lost is never used by both
    Given a settled fleet with 2 for each of 1 regions
    When instance 1 gives half its slice to instance 2 and the write takes 0 seconds
    And 8 seconds pass
    Then the parts and tokens that could be spent never exceeded the whole
    And all parts are held by live instances

  Scenario: A transfer that arrives late in the store is never used by both
    Given a settled fleet with 2 for each of 1 regions
    When instance 1 gives half its slice to instance 2 and the write takes 20 seconds
    And 30 seconds pass
    Then the parts and tokens that could be spent never exceeded the whole

  Scenario: A paused instance does not spend on an old permission
    Given a settled fleet with 2 for each of 1 regions
    When instance 1 is paused for 30 seconds and gets requests meanwhile
    Then the parts and tokens that could be spent never exceeded the whole
    And in no window did the use exceed burst plus rate times the window

  Scenario: A whole region cut off keeps serving
    Given a settled fleet with 2 for each of 2 regions
    When region sohar-a is cut off from all others
    And 600 seconds pass
    Then each instance of sohar-a serves a request
    And the parts and tokens that could be spent never exceeded the whole

  Scenario: A lone instance without store and peers goes on to the horizon only
    Given a settled fleet with 1 for each of 1 regions
    When instance 1 is cut off from the store
    Then for 50 seconds instance 1 may spend
    And after 70 seconds instance 1 may not spend

  Scenario: All instances crash at once and an operator releases them
    Given a settled fleet with 2 for each of 1 regions
    When all instances crash and are replaced
    And 10 seconds pass
    Then a request is refused with rate-exceeded and says not-run
    When an operator releases the dead instances
    And 8 seconds pass
    Then all parts are held by live instances

  Scenario Outline: Tokens reach the instance that needs them
    Given a settled fleet with 2 for each of 2 regions
    When callers ask for <share> of the rate, <skew> of it at instance 1, for 60 seconds
    Then fewer than <bound> in a hundred requests are refused that one bucket would admit

    Examples:
      | share | skew | bound |
      | 0.8   | 0.25 | 0.1   |
      | 0.8   | 1.0  | 0.1   |
      | 0.9   | 0.5  | 0.1   |

  Scenario: A request larger than every slice gathers its need from several peers
    Given a settled fleet with 2 for each of 2 regions
    When a request for 0.9 of the burst comes to instance 1
    Then the request is admitted

  Scenario: What a request did not use comes back, but never twice
    Given a bucket with burst 100 and rate 1
    When 100 tokens are reserved at 0 s and 50 tokens are reserved at 50 s
    And the first reservation is settled at 51 s with nothing used
    Then no more than 51 tokens can be spent at 51 s

  Scenario: Tokens of a loan that has ended are not earned by a late borrower
    Given a holding that borrowed 100000 and 200000 parts until 5 s and 50 s
    When it is looked at after 40 s
    Then the pool earned what 100000 parts earn in 5 s and 200000 in 40 s, and not more

  Scenario Outline: A slice is taken over only after both waits
    With a term of 1 s and a drift margin of 0.1 s both waits are 2.2 s.
    Given an instance whose session has been absent for <absent> s, with an electorate of 3
    When another member attests that it vouched for nobody for <quiet> s
    Then the slice is <outcome>

    Examples:
      | absent | quiet | outcome    |
      | 2.1    | 9     | kept       |
      | 2.3    | 2.1   | kept       |
      | 2.3    | 2.3   | taken over |

  Scenario: Losing several instances at once is one change of the electorate
    Given a settled fleet with 7 for each of 1 regions
    When instances 5, 6 and 7 crash 0.6 seconds apart
    And 10 seconds pass
    Then each of the other instances wrote its electorate once
    And each electorate holds the instances that are left
