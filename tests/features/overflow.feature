Feature: Requests that overflow to another region, in virtual time

  Scenario: Forwards of all instances together stay within the link's budget
    Given 4 instances in each of two regions, of which east is full
    When callers of east send 300 requests a second of 20000 bytes for 6 seconds
    Then requests are forwarded
    And in any second they take at most the budget of the link and what was saved

  Scenario: Without a budget the same load takes more of the link
    Given 4 instances in each of two regions without a budget, of which east is full
    When callers of east send 300 requests a second of 20000 bytes for 6 seconds
    Then in some second they take more than the budget of the link and what was saved

  Scenario: Short requests go before long ones of like gain
    Given 4 instances in each of two regions, of which east is full
    When callers of east send short and long requests by turns for 6 seconds
    Then the share of forwarded short requests is at least twice that of long ones

  Scenario: A request whose data must stay in another region is forwarded without a budget left
    Given 4 instances in each of two regions, of which east is full
    When the budget of the link is used up
    Then a request of east for data of any region is not forwarded
    But a request of east for data of west is forwarded
    And a request of east for data of east is not forwarded

  Scenario: Two regions that are full by turns use each other's room
    Given 4 instances in each of two regions with as many upstreams as one needs on average
    When each region by turns gets 90 requests a second for 3 seconds, and the other 10, 4 times
    Then requests of both regions are forwarded
    And fewer requests wait than without forwards
    And in any second they take at most the budget of the link and what was saved
    And at most a tenth of the forwards leave a region while it gets few requests

  Scenario: Instances that read the same report don't all forward to the region that it names
    Given 6 instances in each of two regions, of which east is full and west has 6 free places
    When 200 requests arrive in east before the next report
    Then some are forwarded, and west has no longer queues than east
    But without a budget west has longer ones

  Scenario: Nothing is forwarded over a cut link
    Given 4 instances in each of two regions, of which east is full
    When the link is cut for 5 seconds
    Then a request of east for data of any region is not forwarded
    And once the link is back, a request of east is forwarded

  Scenario: An instance that froze leaves the budget of the others as it was
    Given 4 instances in each of two regions, of which east is full
    When an instance of east is silent for 6 seconds
    Then the others still have a quarter of the budget each
