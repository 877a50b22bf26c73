Feature: The fleet never exceeds a client account's rate and burst
  The decisions of several instances run in virtual time with a fake store and network.

  Scenario: Usage stays within rate and burst in random histories of requests and faults
    The histories contain spending, loans, expiry, crashes, pauses, clock drift, one-way message
    loss, store outages, lost store answers, a region cut off and replacement of instances.
    When 25 random histories are played
    Then in no window did the usage exceed burst plus rate times the window
    And the spendable parts and tokens never exceeded the rate and burst

  Scenario: Histories that once created parts of a rate out of nothing stay within the rate
    A request that waited behind a larger one asked to borrow fewer than 0 tokens; the lender then
    moved more parts than it held.
    When the 25 random histories of the seed 516611d911db5c6e373940990dcda46b881bed9acfd7eb4ec02af8ecc5e0b0331de68dc591a4c699e24b77b7c2fe9309 are played
    Then in no window did the usage exceed burst plus rate times the window
    And the spendable parts and tokens never exceeded the rate and burst

  Scenario: An instance that pauses twice under traffic leaves the parts of the rate as they were
    Given a fleet of 2 instances in each of 2 regions whose clocks lose 0.0001 of the time
    When instance 3 pauses twice for 2 seconds under traffic
    Then the spendable parts and tokens never exceeded the rate and burst
    And all parts are held by live instances

  Scenario: A request that waits behind a larger one asks for its own tokens
    Given a settled fleet with 2 instances in each of 1 regions
    When requests for 0.9 and 0.2 of the burst arrive at instance 1 at the same time
    Then each loan request that instance 1 sends is for more than 0 tokens

  Scenario: A loan of fewer than 0 tokens is refused and moves no parts
    Given a settled fleet with 2 instances in each of 1 regions
    When instance 2 asks instance 1 for a loan of -50 tokens
    Then instance 1 lends nothing and records no demand of instance 2
    And the message of instance 2 is logged as unreadable

  Scenario: Replacing every instance keeps the whole rate of the account available, and no more
    Given a settled fleet with 3 instances in each of 2 regions
    When every instance is replaced gracefully, one after the other
    Then all parts are held by live instances
    And the spendable parts and tokens never exceeded the rate and burst

  Scenario: The slice of a crashed instance is taken over after the waiting time, not before
    Given a settled fleet with 3 instances in each of 1 regions
    When instance 1 crashes
    Then after 4.5 seconds instance 1 still holds its slice in the store
    And after 12 seconds all parts are held by live instances

  Scenario: An instance cut off alone stops spending, and its slice is taken over
    Given a settled fleet with 3 instances in each of 1 regions
    When instance 1 is cut off from the store and its peers
    Then after 3 seconds instance 1 may not spend
    And after 14 seconds instance 1 holds nothing in the store
    When the cuts heal
    And 8 seconds pass
    Then instance 1 may spend again, within the rate and burst

  Scenario: Two of three instances cut off from the store keep spending and keep their slices
    Given a settled fleet with 3 instances in each of 1 regions
    When instances 1 and 2 are cut off from the store
    Then for 30 seconds instances 1 and 2 may spend
    And instances 1 and 2 hold their parts in the store

  Scenario: One of three instances cut off from the store stops, as the others reach the store
    Given a settled fleet with 3 instances in each of 1 regions
    When instance 1 is cut off from the store
    Then after 5 seconds instance 1 may not spend
    And the spendable parts and tokens never exceeded the rate and burst

  Scenario: When a vouching instance reconnects, the vouched-for one stops spending for good
    Given a settled fleet with 3 instances in each of 1 regions
    When instances 1 and 2 are cut off from the store
    And 6 seconds pass
    And instance 2 reconnects to the store
    And 2.5 seconds pass
    And instance 2 is cut off from the store
    And 20 seconds pass
    Then instance 1 may not spend
    And the spendable parts and tokens never exceeded the rate and burst

  Scenario: A slice is not taken over while an earlier vouch may still be valid
    Given a settled fleet with 3 instances in each of 1 regions
    When instances 1 and 2 are cut off from the store
    And 9 seconds pass
    And instance 2 reconnects to the store
    And the others are cut off from instance 1
    And 12 seconds pass
    Then instance 1 may not spend
    And the spendable parts and tokens never exceeded the rate and burst

  Scenario: A transferred part whose store answer is lost is never spendable on both sides
    Given a settled fleet with 2 instances in each of 1 regions
    When instance 1 transfers half its slice to instance 2 and the write takes 0 seconds
    And 8 seconds pass
    Then the spendable parts and tokens never exceeded the rate and burst
    And all parts are held by live instances

  Scenario: A transferred part whose write is delayed is never spendable on both sides
    Given a settled fleet with 2 instances in each of 1 regions
    When instance 1 transfers half its slice to instance 2 and the write takes 20 seconds
    And 30 seconds pass
    Then the spendable parts and tokens never exceeded the rate and burst

  Scenario: A paused instance does not spend on an expired permission
    Given a settled fleet with 2 instances in each of 1 regions
    When instance 1 is paused for 30 seconds under traffic
    Then the spendable parts and tokens never exceeded the rate and burst
    And in no window did the usage exceed burst plus rate times the window

  Scenario: A region cut off from all others keeps serving
    Given a settled fleet with 2 instances in each of 2 regions
    When region sohar-a is cut off from all others
    And 600 seconds pass
    Then each instance of sohar-a serves a request
    And the spendable parts and tokens never exceeded the rate and burst

  Scenario: A lone instance without store and peers may spend up to its horizon only
    Given a settled fleet with 1 instances in each of 1 regions
    When instance 1 is cut off from the store
    Then for 50 seconds instance 1 may spend
    And after 70 seconds instance 1 may not spend

  Scenario: All instances crash at once and an operator releases their slices
    Given a settled fleet with 2 instances in each of 1 regions
    When all instances crash and are replaced
    And 10 seconds pass
    Then a request is refused with rate-exceeded and run status not-run
    When an operator releases the crashed instances
    And 8 seconds pass
    Then all parts are held by live instances

  Scenario Outline: Tokens move to the instance that needs them
    Given a settled fleet with 2 instances in each of 2 regions
    When callers use <share> of the rate, <skew> of it at instance 1, for 60 seconds
    Then fewer than <bound> percent of the requests are refused though one bucket would admit them

    Examples:
      | share | skew | bound |
      | 0.8   | 0.25 | 0.1   |
      | 0.8   | 1.0  | 0.1   |
      | 0.9   | 0.5  | 0.1   |

  Scenario: A request larger than every slice borrows tokens from several peers
    Given a settled fleet with 2 instances in each of 2 regions
    When a request for 0.9 of the burst is sent to instance 1
    Then the request is admitted

  Scenario: Unused tokens of a reservation are refunded, but never twice
    Given a bucket with burst 100 and rate 1
    When 100 tokens are reserved at 0 s and 50 tokens are reserved at 50 s
    And the first reservation is settled at 51 s with nothing used
    Then no more than 51 tokens can be spent at 51 s

  Scenario: A late update earns no tokens for loans after they expired
    Given a holding that borrowed 100000 and 200000 parts until 5 s and 50 s
    When the holding is updated after 40 s
    Then the borrowed bucket earned the tokens of 100000 parts in 5 s and 200000 in 40 s, no more

  Scenario Outline: A slice is taken over only after both waiting times
    With a term of 1 s and a drift margin of 0.1 s both waiting times are 2.2 s.
    Given an instance whose session has been absent for <absent> s, with an electorate of 3
    When another member attests that it vouched for nobody for <quiet> s
    Then the slice is <outcome>

    Examples:
      | absent | quiet | outcome    |
      | 2.1    | 9     | kept       |
      | 2.3    | 2.1   | kept       |
      | 2.3    | 2.3   | taken over |

  Scenario: The loss of several instances at once is one change of the electorate
    Given a settled fleet with 7 instances in each of 1 regions
    When instances 5, 6 and 7 crash 0.6 seconds apart
    And 10 seconds pass
    Then each of the other instances wrote its electorate once
    And each electorate consists of the remaining instances
