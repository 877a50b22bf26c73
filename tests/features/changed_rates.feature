Feature: A new or changed rate applies also at instances that get no request of the account
  Fleets of two instances in each of two regions, in virtual time.

  Scenario: A lowered rate is not exceeded with tokens that idle holders lend
    Given 4 fleets whose instances have all served the account
    When its rate is lowered to a tenth and 31 s later many requests come to one instance
    Then in no fleet the usage exceeded the lowered rate and burst

  Scenario: A raised burst can be borrowed from idle holders
    Given 4 fleets whose instances have all served the account
    When its burst is raised fivefold and 61 s later a request for 0.6 of it comes to one instance
    Then that request is admitted in each fleet

  Scenario: A holder that read its slice before the rate lends it
    Given 4 fleets whose instances have all served the account
    When an instance reads the record of another account before that account's rate
    Then the fleet can spend between 0.6 and 1 of the burst of the other account
